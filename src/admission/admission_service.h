/// \file
/// The production admission controller: applies tenant limits first, then hold and shed by class.
#pragma once

#include <memory>

#include "admission/admission_controller.h"
#include "admission/admission_options.h"
#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/member_directory.h"

namespace covewing::admission {

/// Admission control of one node. Receives the messages of Channel::kAdmission.
class AdmissionService : public AdmissionController, public base::PeerHandler {
 public:
  /// Number of requests currently held for capacity.
  virtual std::size_t held() const = 0;
  /// Number of admitted requests that have not ended.
  virtual std::size_t running() const = 0;
};

/// All arguments must outlive the service. Tickets may outlive the service; using them is then a
/// no-op.
std::unique_ptr<AdmissionService> makeAdmissionController(
    const AdmissionOptions& options, base::Clock& clock, base::TimerService& timers,
    base::RandomSource& random, base::EventLog& log, membership::MemberDirectory& directory,
    base::PeerTransport& transport);

}  // namespace covewing::admission
