#include <boost/test/unit_test.hpp>

#include "emulator/kept_cache_store_model.h"
#include "emulator/machine_list_model.h"
#include "emulator/object_store_model.h"
#include "emulator/table_model.h"
#include "emulator/virtual_time.h"
#include "emulator/weight_store_model.h"

using namespace std::chrono_literals;

namespace covewing::emulator {

namespace {

using base::BlockHash;
using clients::ObjectStatus;
using clients::TableReply;
using clients::TableStatus;
using clients::TableTransaction;

TableTransaction set(const std::string& key, const std::string& value, base::Revision expected) {
  return TableTransaction{{{key, expected}}, {{key, value}}};
}

struct TableFixture : TestWorld {
  ServiceOptions options;
  std::unique_ptr<TableModel> table;

  void make() { table = std::make_unique<TableModel>(options, time, time, random); }

  TableReply commit(const TableTransaction& transaction) {
    std::optional<TableReply> answer;
    table->commit(transaction, [&](TableReply reply) { answer = std::move(reply); });
    BOOST_TEST(!answer.has_value());
    time.run(10s);
    return answer.value();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(TableModelSuite, TableFixture)

BOOST_AUTO_TEST_CASE(commitsWholeTransactionsOrNothing) {
  make();
  BOOST_TEST(commit(set("a", "1", 0)).revision == 1U);
  const TableReply conflict = commit({{{"a", 1}, {"b", 7}}, {{"a", "2"}, {"c", "2"}}});
  BOOST_TEST((conflict.status == TableStatus::kConflict));
  BOOST_REQUIRE(conflict.rows.size() == 1U);
  BOOST_TEST(conflict.rows[0].value == "1");
  BOOST_TEST(table->readNow({"c"}).rows.empty());
  BOOST_TEST(table->revision() == 1U);
  BOOST_TEST(commit({{{"a", 1}, {"b", 0}}, {{"a", "2"}, {"c", "2"}}}).revision == 2U);
  BOOST_TEST(table->readNow({"c"}).rows.at(0).revision == 2U);
  BOOST_TEST(commit({{}, {{"a", std::nullopt}}}).revision == 3U);
  BOOST_TEST(table->readNow({"a"}).rows.empty());
}

BOOST_AUTO_TEST_CASE(scansByRevisionAndPrefixWithoutSplittingATransaction) {
  make();
  for (int index = 0; index < 3; ++index) {
    const std::string name = std::to_string(index);
    table->commitNow({{}, {{"t/a" + name, "x"}, {"t/b" + name, "x"}, {"u/" + name, "x"}}});
  }
  const TableReply first = table->scanNow("t/", 0, 3);
  BOOST_TEST(first.rows.size() == 4U);
  BOOST_TEST(first.revision == 2U);
  const TableReply rest = table->scanNow("t/", first.revision, 3);
  BOOST_TEST(rest.rows.size() == 2U);
  BOOST_TEST(rest.revision == 3U);
  BOOST_TEST(table->scanNow("t/", 3, 3).rows.empty());
}

BOOST_AUTO_TEST_CASE(refusesAboveItsRate) {
  options.rateLimit = 10.0;
  options.rateBurst = 2.0;
  make();
  int limited = 0;
  for (int count = 0; count < 5; ++count) {
    table->read({"a"}, [&](const TableReply& reply) {
      if (reply.status == TableStatus::kRateLimited) ++limited;
    });
  }
  time.run(1s);
  BOOST_TEST(limited == 3);
  BOOST_TEST((commit(set("a", "1", 0)).status == TableStatus::kOk));
}

BOOST_AUTO_TEST_CASE(losesAnswersAfterTheEffect) {
  make();
  table->conditions().loseNextAnswers(1);
  BOOST_TEST((commit(set("a", "1", 0)).status == TableStatus::kUnknown));
  BOOST_TEST(table->readNow({"a"}).rows.size() == 1U);
  BOOST_TEST((commit(set("b", "1", 0)).status == TableStatus::kOk));
  BOOST_TEST(table->conditions().answersLost() == 1U);
  table->conditions().setAnswerLoss(0.5);
  int lost = 0;
  for (int count = 0; count < 200; ++count) {
    if (commit(set("k" + std::to_string(count), "1", 0)).status == TableStatus::kUnknown) ++lost;
  }
  BOOST_TEST(lost > 70);
  BOOST_TEST(lost < 130);
  BOOST_TEST(table->revision() == 202U);
}

BOOST_AUTO_TEST_CASE(downMeansThatNothingHappened) {
  make();
  table->conditions().setMode(ServiceMode::kDown);
  BOOST_TEST((commit(set("a", "1", 0)).status == TableStatus::kUnavailable));
  BOOST_TEST(table->revision() == 0U);
}

BOOST_AUTO_TEST_CASE(slowAnswersComeLate) {
  make();
  table->conditions().setMode(ServiceMode::kSlow);
  table->conditions().setSlowLatency(3s);
  bool answered = false;
  table->read({"a"}, [&](const TableReply& /*reply*/) { answered = true; });
  time.run(2900ms);
  BOOST_TEST(!answered);
  time.run(200ms);
  BOOST_TEST(answered);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ObjectStoreModelSuite, TestWorld)

BOOST_AUTO_TEST_CASE(keepsWhatAnUnansweredPutWrote) {
  ObjectStoreModel store(ServiceOptions{}, time, time, random);
  std::vector<ObjectStatus> statuses;
  std::string bytes;
  const auto note = [&](const clients::ObjectReply& reply) {
    statuses.push_back(reply.status);
    bytes = reply.bytes;
  };
  const auto get = [&] {
    store.get("x", note);
    time.run(1s);
  };
  get();
  store.conditions().loseNextAnswers(1);
  store.put("x", "value", note);
  time.run(1s);
  get();
  BOOST_TEST(bytes == "value");
  store.conditions().setMode(ServiceMode::kDown);
  get();
  const std::vector<ObjectStatus> expected = {ObjectStatus::kNotFound, ObjectStatus::kUnknown,
                                              ObjectStatus::kOk, ObjectStatus::kUnavailable};
  BOOST_TEST((statuses == expected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(MachineListModelSuite, TestWorld)

BOOST_AUTO_TEST_CASE(showsChangesLateAndInOrder) {
  MachineListOptions options;
  options.lag = 2s;
  MachineListModel list(options, time, time, random);
  clients::Machine machine{"rules-01", {}, {}, {}, "a", "r", {}};
  list.addInitial(machine);
  BOOST_TEST(list.visible().size() == 1U);
  machine.state = clients::MachineState::kLeaving;
  list.update(machine);
  list.remove("rules-01");
  time.run(900ms);
  BOOST_TEST((list.visible().at(0).state == clients::MachineState::kLive));
  time.run(3s);
  BOOST_TEST(list.visible().empty());
  machine.name = "rules-02";
  list.update(machine);
  list.setLag(0s);
  std::optional<std::vector<clients::Machine>> fetched;
  list.fetch([&](auto machines) { fetched = std::move(machines); });
  time.run(500ms);
  BOOST_TEST(fetched.value().empty());
  time.run(3s);
  BOOST_TEST(list.visible().size() == 1U);
  list.conditions().setMode(ServiceMode::kDown);
  list.fetch([&](auto machines) { fetched = std::move(machines); });
  time.run(1s);
  BOOST_TEST(!fetched.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WeightStoreModelSuite, TestWorld)

namespace {

/// Milliseconds after which each of `count` loads, started together, ends.
std::vector<double> loadTimes(TestWorld& world, WeightStoreModel& store, int count) {
  std::vector<double> times;
  const base::TimePoint start = world.time.now();
  for (int index = 0; index < count; ++index) {
    store.load(1.0, [&] { times.push_back(base::toMilliseconds(world.time.now() - start)); });
  }
  world.time.run(60s);
  return times;
}

}  // namespace

BOOST_AUTO_TEST_CASE(slowsDownAboveItsFullSpeedLoads) {
  WeightStoreModel store({.loadTime = 500ms, .fullSpeedLoads = 3}, time, time);
  BOOST_TEST(loadTimes(*this, store, 3).back() == 500.0, boost::test_tools::tolerance(0.001));
  const std::vector<double> six = loadTimes(*this, store, 6);
  BOOST_TEST(six.size() == 6U);
  BOOST_TEST(six.front() == 1000.0, boost::test_tools::tolerance(0.001));
  BOOST_TEST(store.peakLoads() == 6U);
}

BOOST_AUTO_TEST_CASE(loadsWaitWhileItIsDown) {
  WeightStoreModel store({.loadTime = 500ms, .fullSpeedLoads = 3}, time, time);
  int done = 0;
  store.load(1.0, [&] { ++done; });
  const auto cancelled = store.load(1.0, [&] { ++done; });
  time.run(250ms);
  store.setSpeed(0.0);
  store.cancel(cancelled);
  time.run(10s);
  BOOST_TEST(done == 0);
  store.setSpeed(0.5);
  time.run(490ms);
  BOOST_TEST(done == 0);
  time.run(20ms);
  BOOST_TEST(done == 1);
  BOOST_TEST(store.activeLoads() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(KeptCacheStoreModelSuite, TestWorld)

BOOST_AUTO_TEST_CASE(holdsTheMostRecentlyStoredBlocks) {
  KeptCacheStoreModel store({.capacityBlocks = 4}, time);
  const BlockProvenance provenance{{1, "rules", "", 1}, base::engineIdOf("e"), 3, false};
  const std::vector<BlockHash> first = {BlockHash{1}, BlockHash{2}, BlockHash{3}};
  BOOST_TEST(store.store(first, provenance).size() == 3U);
  BOOST_TEST(store.store(first, provenance).empty());
  BOOST_TEST((store.provenance(BlockHash{2}) == provenance));
  const std::vector<BlockHash> second = {BlockHash{7}, BlockHash{8}};
  store.store(second, provenance);
  BOOST_TEST(store.leadingBlocks(first) == 0U);
  BOOST_TEST(store.leadingBlocks(second) == 2U);
  BOOST_TEST(store.heldBlocks() == 4U);
  store.setDown(true);
  BOOST_TEST(store.leadingBlocks(second) == 0U);
  BOOST_TEST(store.store(first, provenance).empty());
}

BOOST_AUTO_TEST_CASE(transfersQueueBehindEachOther) {
  KeptCacheStoreModel store({.latency = 5ms, .perBlock = 100us}, time);
  BOOST_TEST((store.transfer(50) == 10ms));
  BOOST_TEST((store.transfer(50) == 15ms));
  time.run(1s);
  BOOST_TEST((store.transfer(50) == 10ms));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::emulator
