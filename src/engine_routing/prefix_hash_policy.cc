#include "engine_routing/prefix_hash_policy.h"

#include "engine_routing/candidates.h"

namespace covewing::engine_routing {

namespace {
/// Index of the block whose hash identifies the prefix: the first 32 blocks (512 tokens) are enough
/// to distinguish long shared documents, and the questions that follow a document do not extend
/// into them.
constexpr std::size_t kRootBlock = 31;
}  // namespace

void PrefixHashPolicy::choose(RouteQuery query, RouteCallback callback) {
  auto engines = preferZone(qualifyingEngines(environment_.fleet, query), environment_.zone);
  if (engines.empty()) return callback(noEngine(query));
  sortByRendezvous(engines, prefixKey(query, kRootBlock));
  callback(decideFor(*engines.front()));
}

}  // namespace covewing::engine_routing
