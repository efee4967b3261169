/// \file
/// Saves lookups in large fleets: the first candidate of the own region is queried alone, and the
/// others only if its reply does not settle the selection. Most requests continue a prefix that
/// this engine has cached, since all nodes of the region prefer it for that prefix. Most requests
/// therefore need one query and one reply, whatever the number of candidates; the rest need a
/// second round trip.
///
/// In small fleets all candidates are queried at once: the traffic does not matter there, and the
/// replies improve load balancing.
#pragma once

#include <memory>
#include <vector>

#include "engine_routing/cache_lookup.h"
#include "engine_routing/fleet_view.h"
#include "membership/member_directory.h"

namespace covewing::engine_routing {

struct StagedLookupOptions {
  /// Fleets with fewer live nodes query all candidates at once.
  std::size_t minimumNodes = 32;
  /// The reply settles the selection if at least this share of the prompt is cached, and at most
  /// this many tokens are to be computed first.
  double conclusiveShare = 0.5;
  std::uint64_t conclusiveTokensAhead = 512;
};

/// Wraps a lookup; all referenced objects must outlive it.
class StagedLookup final : public CacheLookup {
 public:
  StagedLookup(StagedLookupOptions options, const membership::MemberDirectory& members,
               const FleetView& fleet, CacheLookup& lookup)
      : options_(options), members_(members), fleet_(fleet), lookup_(lookup) {}

  void lookup(base::PriorityClass priority, const std::vector<base::EngineId>& engines,
              const prefix::Checkpoints& checkpoints, LookupCallback callback) override;
  void announce(std::uint64_t lookupId, base::EngineId engine, base::PriorityClass priority,
                std::uint32_t uncachedTokens) override {
    lookup_.announce(lookupId, engine, priority, uncachedTokens);
  }

 private:
  base::EngineId preferredEngine(const std::vector<base::EngineId>& engines) const;
  bool isConclusive(const LookupResult& result, const prefix::Checkpoints& checkpoints) const;

  StagedLookupOptions options_;
  const membership::MemberDirectory& members_;
  const FleetView& fleet_;
  CacheLookup& lookup_;
  /// Allows callbacks that run after the destruction of this object to detect it.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::engine_routing
