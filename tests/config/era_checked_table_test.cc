// Transactions that were decided before the table service came back from a copy. The service
// compares numbers that it gives out again, so that a condition on a row of its former history may
// hold for another row, and be done seconds later.
#include "config/era_checked_table.h"

#include <boost/test/unit_test.hpp>
#include <deque>

#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::config {

using clients::TableReply;
using clients::TableStatus;

namespace {

/// A service that keeps what it is sent, and answers when the test says so.
struct PausedTable final : clients::TableClient {
  void read(std::vector<std::string> /*keys*/, clients::TableCallback callback) override {
    pending.push_back(std::move(callback));
  }
  void scan(std::string /*prefix*/, base::Revision /*after*/, std::size_t /*limit*/,
            clients::TableCallback callback) override {
    pending.push_back(std::move(callback));
  }
  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override {
    sent = std::move(transaction);
    pending.push_back(std::move(callback));
  }
  void answer(TableReply reply) {
    auto callback = std::move(pending.front());
    pending.pop_front();
    callback(std::move(reply));
  }
  clients::TableTransaction sent;
  std::deque<clients::TableCallback> pending;
};

struct EraCheckedFixture {
  EraCheckedFixture() { eras.note(0, "the test"); }
  void commitOn(base::Revision revision) {
    table.commit({{{"row", revision}}, {{"row", "value"}}},
                 [this](TableReply answered) { reply = std::move(answered); });
  }

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  StoreEras eras{time, log};
  PausedTable service;
  EraCheckedTable table{service, eras};
  std::optional<TableReply> reply;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EraCheckedTableTest, EraCheckedFixture)

BOOST_AUTO_TEST_CASE(ConditionOnARowOfAFormerEraCannotHold) {
  eras.note(1, "the test");
  commitOn(7);
  BOOST_TEST(base::numberOf(service.sent.conditions.front().revision) ==
             base::kLargestRevisionNumber);
  const auto current = base::revisionAt(1, 9);
  service.answer({TableStatus::kConflict, current, {{"row", "other", current}}});
  BOOST_TEST((reply->status == TableStatus::kConflict));
  commitOn(current);
  BOOST_TEST(service.sent.conditions.front().revision == current);
}

BOOST_AUTO_TEST_CASE(ConditionThatARowIsAbsentIsSentAsItIs) {
  eras.note(1, "the test");
  commitOn(0);
  BOOST_TEST(service.sent.conditions.front().revision == 0U);
}

BOOST_AUTO_TEST_CASE(TransactionThatWasDoneInALaterEraThanItWasDecidedInIsUnknown) {
  commitOn(7);
  eras.note(1, "the test");
  service.answer({TableStatus::kOk, base::revisionAt(1, 9), {}});
  BOOST_TEST((reply->status == TableStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(AnswersOfAFormerEraAreNoNews) {
  commitOn(7);
  table.read({"row"}, [this](TableReply answered) { reply = std::move(answered); });
  eras.note(1, "the test");
  service.answer({TableStatus::kOk, 9, {}});
  BOOST_TEST((reply->status == TableStatus::kUnknown));
  service.answer({TableStatus::kOk, 9, {{"row", "value", 8}}});
  BOOST_TEST((reply->status == TableStatus::kUnavailable));
  BOOST_TEST(reply->rows.empty());
}

BOOST_AUTO_TEST_CASE(RefusalsStayWhatTheyAre) {
  commitOn(7);
  eras.note(1, "the test");
  service.answer({TableStatus::kRateLimited, 0, {}});
  BOOST_TEST((reply->status == TableStatus::kRateLimited));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
