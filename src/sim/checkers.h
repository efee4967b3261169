/// \file
/// One checker for each promise, worst harm first. A checker reads a history and returns every
/// violation it finds; it knows nothing of how nodes work.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "sim/history.h"

namespace covewing::sim {

/// The promises, in order of the harm that a violation does.
enum class Promise : std::uint8_t {
  /// A not-repeatable request runs at most once.
  kAtMostOnce,
  /// A request refused with "not run" did not run.
  kNotRun,
  /// Streams are complete, in order and the caller's own.
  kStreams,
  /// Every caller gets the answer to its own call.
  kOwnAnswer,
  /// No cached prefix of a dead engine, another tenant or other weights is used.
  kCacheIdentity,
  /// Configurations never revert, and hold everywhere within the bound.
  kConfiguration,
  /// Changes of templates are linearizable.
  kTemplateChanges,
  /// A leaving back end gets no new work after a few seconds.
  kDrain,
  /// A planned stop cuts no request off.
  kPlannedStop,
  /// Orders are obeyed in order of their fencing tokens, within the load slots.
  kOrders,
  /// A restarted node serves at once.
  kRestart,
  /// Every call gets a final answer.
  kAnswered,
};
inline constexpr std::size_t kPromiseCount = 12;

/// Name of the promise in reports, such as "at-most-once".
std::string_view toString(Promise promise);

struct Violation {
  Promise promise = Promise::kAtMostOnce;
  base::TimePoint at;
  std::string detail;
  /// Request, template, engine or node concerned: selects the history around it.
  std::string subject;
};

/// Bounds that the promises name, on virtual time.
struct Bounds {
  /// From acceptance to force on every connected node.
  base::Duration configuration = std::chrono::seconds(7);
  /// From a back end's leave to the last dispatch to it.
  base::Duration drain = std::chrono::seconds(5);
  /// From the start of a process to its readiness, while another node of its zone is ready.
  base::Duration restart = std::chrono::seconds(3);
  /// The same with no such node, while the table service or the object store can be reached.
  base::Duration herdRestart = std::chrono::seconds(6);
  /// From submission to the final answer, streams aside; ample, since it only finds lost answers.
  base::Duration answer = std::chrono::seconds(60);
};

std::vector<Violation> checkAtMostOnce(const History& history);
std::vector<Violation> checkNotRun(const History& history);
std::vector<Violation> checkStreams(const History& history);
std::vector<Violation> checkOwnAnswers(const History& history);
std::vector<Violation> checkCacheIdentity(const History& history);
std::vector<Violation> checkConfiguration(const History& history, const Bounds& bounds);
std::vector<Violation> checkTemplateChanges(const History& history);
std::vector<Violation> checkDrain(const History& history, const Bounds& bounds);
std::vector<Violation> checkPlannedStops(const History& history);
std::vector<Violation> checkOrders(const History& history);
std::vector<Violation> checkRestarts(const History& history, const Bounds& bounds);
std::vector<Violation> checkAnswered(const History& history, const Bounds& bounds);

/// All of them, in order of the promises.
std::vector<Violation> checkAll(const History& history, const Bounds& bounds);

}  // namespace covewing::sim
