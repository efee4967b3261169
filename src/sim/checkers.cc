#include "sim/checkers.h"

#include <array>
#include <iterator>
#include <utility>

namespace covewing::sim {

std::string_view toString(Promise promise) {
  constexpr std::array<std::string_view, kPromiseCount> kNames = {
      "at-most-once",   "not-run",       "streams",          "own-answer",
      "cache-identity", "configuration", "template-changes", "drain",
      "planned-stop",   "orders",        "restart",          "answered"};
  return kNames.at(static_cast<std::size_t>(promise));
}

std::vector<Violation> checkAll(const History& history, const Bounds& bounds) {
  std::vector<Violation> all;
  const auto append = [&all](std::vector<Violation> found) {
    all.insert(all.end(), std::make_move_iterator(found.begin()),
               std::make_move_iterator(found.end()));
  };
  append(checkAtMostOnce(history));
  append(checkNotRun(history));
  append(checkStreams(history));
  append(checkOwnAnswers(history));
  append(checkCacheIdentity(history));
  append(checkConfiguration(history, bounds));
  append(checkTemplateChanges(history));
  append(checkDrain(history, bounds));
  append(checkPlannedStops(history));
  append(checkOrders(history));
  append(checkRestarts(history, bounds));
  append(checkAnswered(history, bounds));
  return all;
}

}  // namespace covewing::sim
