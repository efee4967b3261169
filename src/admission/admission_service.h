/// \file
/// The shipped admission controller: tenant limits first, then hold and shed by class.
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

/// Admission of one node. Receives the messages of Channel::kAdmission.
class AdmissionService : public AdmissionController, public base::PeerHandler {
 public:
  /// Requests held for capacity now.
  virtual std::size_t held() const = 0;
  /// Requests admitted and not over.
  virtual std::size_t running() const = 0;
};

/// All arguments must outlive the service, and the service its tickets' use; tickets may outlive
/// the service.
std::unique_ptr<AdmissionService> makeAdmissionController(
    const AdmissionOptions& options, base::Clock& clock, base::TimerService& timers,
    base::RandomSource& random, base::EventLog& log, membership::MemberDirectory& directory,
    base::PeerTransport& transport);

}  // namespace covewing::admission
