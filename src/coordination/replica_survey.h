/// \file
/// What replicas that are to be changed say of themselves shortly before: how many runs they have,
/// and whether they answer at all.
///
/// Gain: a replica with few runs is rid of them sooner, so that it is away for a shorter time; one
/// that does not answer is not begun with. A few are asked at a time, the one asked the longest ago
/// first, so that the holder's link bears a few kilobytes a second.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "clients/weights_client.h"
#include "routing/replica_directory.h"

namespace covewing::coordination {

struct ReplicaSurveyOptions {
  /// So many are asked each time.
  std::size_t batchSize = 6;
  base::Duration interval = std::chrono::milliseconds(250);
  /// What was said counts for so long.
  base::Duration reportValidity = std::chrono::milliseconds(1500);
  /// A replica that has not answered for so long is passed over until it does.
  base::Duration unresponsiveAfter = std::chrono::milliseconds(400);
};

class ReplicaSurvey {
 public:
  /// Both must outlive the survey and share its thread.
  ReplicaSurvey(ReplicaSurveyOptions options, base::Clock& clock, clients::WeightsClient& replicas)
      : options_(options), clock_(clock), replicas_(replicas) {}
  ReplicaSurvey(const ReplicaSurvey&) = delete;
  ReplicaSurvey& operator=(const ReplicaSurvey&) = delete;

  /// Asks some of the candidates, when it is time again.
  void poll(const std::string& model, const std::vector<routing::ReplicaRecordPtr>& candidates);
  /// Requests that run or wait there, as said lately.
  std::optional<std::uint32_t> requestCount(const std::string& instance) const;
  /// Asked and not heard since.
  bool unresponsive(const std::string& instance) const;
  /// Forgets a replica, which is begun with or gone.
  void remove(const std::string& instance) { entries_.erase(instance); }

 private:
  struct Entry {
    /// The first question without an answer.
    std::optional<base::TimePoint> unansweredSince;
    bool callInFlight = false;
    base::TimePoint polledAt{};
    base::TimePoint reportedAt{};
    std::uint32_t requests = 0;
  };

  void requestReport(const std::string& model, const routing::ReplicaRecord& record);

  ReplicaSurveyOptions options_;
  base::Clock& clock_;
  clients::WeightsClient& replicas_;
  std::map<std::string, Entry> entries_;
  base::TimePoint nextAt_{};
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::coordination
