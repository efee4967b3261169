#include "engine_routing/staged_lookup.h"

#include <boost/test/unit_test.hpp>

#include "routing/fakes.h"

namespace covewing::engine_routing {

namespace {

/// Returns scripted results and records the queries.
class FakeLookup final : public CacheLookup {
 public:
  void lookup(base::PriorityClass /*priority*/, const std::vector<base::EngineId>& engines,
              const prefix::Checkpoints& /*checkpoints*/, LookupCallback callback) override {
    queries.push_back(engines);
    LookupResult result;
    result.lookupId = queries.size();
    for (const auto engine : engines) {
      EngineLookupResult knowledge = best;
      knowledge.engine = engine;
      result.engines.push_back(knowledge);
    }
    callback(std::move(result));
  }
  void announce(std::uint64_t lookupId, base::EngineId /*engine*/, base::PriorityClass /*priority*/,
                std::uint32_t /*uncachedTokens*/) override {
    announced = lookupId;
  }

  EngineLookupResult best{{}, true, false, 8, 0, 0, 0};
  std::vector<std::vector<base::EngineId>> queries;
  std::uint64_t announced = 0;
};

/// Engines 1, 2, 3 in the regions "west", "east", "east".
class FakeFleet final : public FleetView {
 public:
  FakeFleet() {
    for (std::uint64_t id = 1; id <= 3; ++id) {
      EngineState engine;
      engine.address.id = {id};
      engine.region = id == 1 ? "west" : "east";
      engines_.push_back(engine);
    }
  }
  const std::vector<EngineState>& engines() const override { return engines_; }
  const EngineState* find(base::EngineId id) const override { return &engines_.at(id.value - 1); }
  std::vector<clients::BackEndAddress> applicationReplicas(
      std::string_view /*application*/) const override {
    return {};
  }
  base::WeightsVersion defaultVersion(std::string_view /*model*/) const override { return 1; }

 private:
  std::vector<EngineState> engines_;
};

std::vector<membership::Member> membersOf(std::size_t count) {
  std::vector<membership::Member> members;
  for (std::size_t index = 0; index < count; ++index) {
    members.push_back(routing::testing::makeMember("node-" + std::to_string(index), "north"));
    members.back().region = "east";
  }
  return members;
}

struct StagedLookupFixture {
  routing::testing::FakeMembers members{membersOf(32)};
  FakeFleet fleet;
  FakeLookup lookup;
  StagedLookup staged{{}, members, fleet, lookup};
  std::vector<base::EngineId> engines{{1}, {2}, {3}};
  prefix::Checkpoints checkpoints{1, 10, {5}};
  std::optional<LookupResult> result;

  void runLookup() {
    staged.lookup(base::PriorityClass::kStandard, engines, checkpoints,
                  [this](LookupResult lookupResult) { result = std::move(lookupResult); });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StagedLookupTest, StagedLookupFixture)

BOOST_AUTO_TEST_CASE(QueriesOnlyTheFirstOfTheRegionIfItsReplyIsConclusive) {
  runLookup();
  BOOST_REQUIRE(lookup.queries.size() == 1U);
  // The first of the own region.
  BOOST_REQUIRE(lookup.queries[0].size() == 1U);
  BOOST_TEST((lookup.queries[0][0] == engines[1]));
  BOOST_REQUIRE(result.has_value());
  BOOST_REQUIRE(result->engines.size() == 3U);
  BOOST_TEST((result->engines[0].engine == engines[1]));
  BOOST_TEST(result->engines[0].known);
  BOOST_TEST((result->engines[1].engine == engines[0]));
  BOOST_TEST(!result->engines[1].known);
  BOOST_TEST((result->engines[2].engine == engines[2]));
  BOOST_TEST(!result->engines[2].known);
  staged.announce(result->lookupId, engines[0], base::PriorityClass::kStandard, 0);
  BOOST_TEST(lookup.announced == 1U);
}

BOOST_AUTO_TEST_CASE(QueriesAllIfTheReplyIsNotConclusive) {
  const EngineLookupResult good = lookup.best;
  std::size_t lookups = 0;
  const auto expectTwoStages = [&](const EngineLookupResult& best) {
    lookup.best = best;
    runLookup();
    lookups += 2;
    BOOST_REQUIRE(lookup.queries.size() == lookups);
    BOOST_TEST(lookup.queries.back().size() == 3U);
  };
  EngineLookupResult best = good;
  best.known = false;
  expectTwoStages(best);
  best = good;
  best.doubtful = true;
  expectTwoStages(best);
  best = good;
  best.matchedBlocks = 4;
  expectTwoStages(best);
  best = good;
  best.tokensAhead = 513;
  expectTwoStages(best);
}

BOOST_AUTO_TEST_CASE(QueriesAllAtOnceInSmallFleets) {
  members.set(membersOf(31));
  runLookup();
  BOOST_REQUIRE(lookup.queries.size() == 1U);
  BOOST_TEST(lookup.queries[0].size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::engine_routing
