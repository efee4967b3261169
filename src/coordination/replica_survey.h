/// \file
/// Polls the replicas that are to be changed shortly before: how many requests they have, and
/// whether they respond at all.
///
/// Benefit: a replica with few requests drains sooner and so is unavailable for a shorter time, and
/// no change is started on one that is unresponsive. Only a few replicas are polled at a time, the
/// one polled longest ago first, so that the traffic of the lease holder is a few kilobytes a
/// second.
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
  /// Maximum number of replicas polled in each interval.
  std::size_t batchSize = 6;
  base::Duration interval = std::chrono::milliseconds(250);
  /// A report older than this is ignored.
  base::Duration reportValidity = std::chrono::milliseconds(1500);
  /// A replica that has not responded for this long counts as unresponsive until it does.
  base::Duration unresponsiveAfter = std::chrono::milliseconds(400);
};

class ReplicaSurvey {
 public:
  /// Both must outlive the survey and share its thread.
  ReplicaSurvey(ReplicaSurveyOptions options, base::Clock& clock, clients::WeightsClient& replicas)
      : options_(options), clock_(clock), replicas_(replicas) {}
  ReplicaSurvey(const ReplicaSurvey&) = delete;
  ReplicaSurvey& operator=(const ReplicaSurvey&) = delete;

  /// Polls some of the candidates if the interval is over.
  void poll(const std::string& model, const std::vector<routing::ReplicaRecordPtr>& candidates);
  /// Number of running and waiting requests at the replica; empty if there is no recent report.
  std::optional<std::uint32_t> requestCount(const std::string& instance) const;
  /// Whether the replica has been polled for longer than `unresponsiveAfter` without a response.
  bool unresponsive(const std::string& instance) const;
  /// Removes a replica whose change starts or which has terminated.
  void remove(const std::string& instance) { entries_.erase(instance); }

 private:
  struct Entry {
    /// Time of the first poll since the last response; empty if the last poll was answered.
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
