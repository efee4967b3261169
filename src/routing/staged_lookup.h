/// \file
/// Spares lookups in large fleets: the first candidate of the own region is asked about alone, and
/// the others only where its answer does not settle the choice. Most requests follow a prefix that
/// this engine has cached, as all nodes of the region prefer it for that prefix, so most need one
/// message and one answer, whatever the number of candidates. The others wait for a second round
/// trip.
///
/// In small fleets all candidates are asked at once: there the bytes do not matter, and the answers
/// balance the load better.
#pragma once

#include <memory>
#include <vector>

#include "membership/member_directory.h"
#include "routing/cache_lookup.h"
#include "routing/fleet_view.h"

namespace covewing::routing {

struct StagedLookupOptions {
  /// Fleets of fewer live nodes ask about all candidates at once.
  std::size_t minimumNodes = 32;
  /// The answer settles the choice with this share of the prompt cached, and at most so many tokens
  /// to be computed before.
  double conclusiveShare = 0.5;
  std::uint64_t conclusiveTokensAhead = 512;
};

/// Wraps a lookup; all references must outlive it.
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
  /// Outlived by callbacks that must no longer reach this object.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::routing
