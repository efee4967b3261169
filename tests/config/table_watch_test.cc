// A copy of a table under failures of the table service.
#include "config/table_watch.h"

#include <boost/test/unit_test.hpp>

#include "support/virtual_time.h"

namespace covewing::config {

using clients::FeedReply;
using clients::FeedRow;
using clients::FeedStatus;
using std::chrono::seconds;

namespace {

class FakeFeed final : public clients::TableFeedClient {
 public:
  void readAll(std::string /*table*/, clients::FeedCallback callback) override {
    ++copies;
    pending = std::move(callback);
  }
  void changes(std::string /*table*/, base::Revision after, base::Duration wait,
               clients::FeedCallback callback) override {
    askedAfter = after;
    askedWait = wait;
    pending = std::move(callback);
  }
  void answer(FeedReply reply) { std::exchange(pending, nullptr)(std::move(reply)); }

  int copies = 0;
  base::Revision askedAfter = 0;
  base::Duration askedWait{};
  clients::FeedCallback pending;
};

struct Watched final : TableWatchListener {
  void onRow(const FeedRow& row, RowSource source) override {
    rows[row.key] = *row.value;
    sources[row.key] = source;
    changedAfter[row.key] = row.changedAfter;
  }
  void onRemoved(const FeedRow& row) override { rows.erase(row.key); }
  void onCurrent() override { ++current; }
  void onFailure(FeedStatus /*status*/) override { ++failures; }
  std::map<std::string, std::string> rows;
  std::map<std::string, RowSource> sources;
  std::map<std::string, std::optional<base::TimePoint>> changedAfter;
  int current = 0;
  int failures = 0;
};

struct WatchFixture {
  WatchFixture() {
    time.advance(seconds(10));
    watch.start();
  }
  test_support::VirtualTime time;
  base::SeededRandom random{1};
  FakeFeed feed;
  Watched watched;
  TableWatch watch{{"t"}, time, time, random, feed, watched};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(TableWatchTest, WatchFixture)

BOOST_AUTO_TEST_CASE(CopyThenChangesInOrder) {
  feed.answer({FeedStatus::kOk, {{"a", "1", 3}, {"b", "1", 4}}, 5});
  BOOST_TEST(feed.askedAfter == 5U);
  feed.answer({FeedStatus::kOk, {{"a", "2", 6}, {"b", std::nullopt, 7}}, 7});
  BOOST_TEST(watched.rows.size() == 1U);
  BOOST_TEST(watched.rows["a"] == "2");
  BOOST_TEST(feed.askedAfter == 7U);
}

BOOST_AUTO_TEST_CASE(FreshnessCountsFromWhenTheCallWasSent) {
  time.pause(seconds(3));
  feed.answer({FeedStatus::kOk, {}, 5});
  BOOST_TEST((time.now() - *watch.confirmedAt() == seconds(3)));
  time.pause(seconds(60));
  feed.answer({FeedStatus::kOk, {}, 5});
  BOOST_TEST((time.now() - *watch.confirmedAt() == seconds(60)));
}

BOOST_AUTO_TEST_CASE(FailureKeepsWhatIsKnownAndConfirmsNothing) {
  feed.answer({FeedStatus::kOk, {{"a", "1", 3}}, 5});
  const auto confirmed = watch.confirmedAt();
  feed.answer({FeedStatus::kUnavailable, {}, 0});
  BOOST_TEST(watched.rows.size() == 1U);
  BOOST_TEST((watch.confirmedAt() == confirmed));
  BOOST_TEST(watched.failures == 1);
  time.advance(seconds(2));
  BOOST_TEST(static_cast<bool>(feed.pending));
  BOOST_TEST(feed.askedAfter == 5U);
}

BOOST_AUTO_TEST_CASE(LostHistoryIsMadeUpForByAnotherCopy) {
  feed.answer({FeedStatus::kOk, {{"a", "1", 3}, {"b", "1", 4}}, 5});
  feed.answer({FeedStatus::kHistoryGone, {}, 0});
  BOOST_TEST(feed.copies == 2);
  feed.answer({FeedStatus::kOk, {{"a", "2", 9}}, 9});
  BOOST_TEST(watched.rows.size() == 1U);
  BOOST_TEST(watched.rows["a"] == "2");
}

BOOST_AUTO_TEST_CASE(RowNeverGoesBackToAnOlderRevision) {
  feed.answer({FeedStatus::kOk, {{"a", "new", 9}}, 5});
  feed.answer({FeedStatus::kOk, {{"a", "old", 7}}, 9});
  BOOST_TEST(watched.rows["a"] == "new");
}

BOOST_AUTO_TEST_CASE(RowsOfACopyAreToldApartFromChanges) {
  feed.answer({FeedStatus::kOk, {{"a", "1", 3}}, 5});
  feed.answer({FeedStatus::kOk, {{"b", "1", 6}}, 6});
  BOOST_TEST((watched.sources["a"] == RowSource::kCopy));
  BOOST_TEST((watched.sources["b"] == RowSource::kFeed));
}

// What a feed tells after some failed calls may be as old as its last answer.
BOOST_AUTO_TEST_CASE(ChangeIsNoYoungerThanTheLastProofOfTheCopyBefore) {
  feed.answer({FeedStatus::kOk, {{"a", "1", 3}}, 5});
  feed.answer({FeedStatus::kOk, {}, 5});
  const auto provedAt = *watch.confirmedAt();
  time.advance(seconds(1));
  feed.answer({FeedStatus::kUnavailable, {}, 0});
  time.advance(seconds(1));
  feed.answer({FeedStatus::kOk, {{"b", "1", 6}}, 6});
  BOOST_TEST(!watched.changedAfter["a"].has_value());
  BOOST_TEST((watched.changedAfter["b"] == provedAt));
}

BOOST_AUTO_TEST_CASE(ChangeFoundInALaterCopyIsNoYoungerThanTheLastProof) {
  feed.answer({FeedStatus::kOk, {{"a", "1", 3}}, 5});
  const auto provedAt = *watch.confirmedAt();
  time.advance(seconds(2));
  feed.answer({FeedStatus::kHistoryGone, {}, 0});
  time.advance(seconds(1));
  feed.answer({FeedStatus::kOk, {{"a", "1", 3}, {"b", "1", 9}}, 9});
  BOOST_TEST(!watched.changedAfter["a"].has_value());
  BOOST_TEST((watched.changedAfter["b"] == provedAt));
}

BOOST_AUTO_TEST_CASE(WhoIsAskedMayKnowBetterWhenAChangeWasMade) {
  feed.answer({FeedStatus::kOk, {{"a", "1", 3}}, 5});
  const auto provedAt = *watch.confirmedAt();
  time.advance(seconds(2));
  FeedReply reply{FeedStatus::kOk, {{"b", "1", 6}, {"c", "1", 7}}, 7};
  reply.rows[0].changedAfter = provedAt + seconds(1);
  reply.rows[1].changedAfter = provedAt - seconds(1);
  feed.answer(reply);
  BOOST_TEST((watched.changedAfter["b"] == provedAt + seconds(1)));
  BOOST_TEST((watched.changedAfter["c"] == provedAt));
}

BOOST_AUTO_TEST_CASE(ClockOfTheServiceGoesOnBetweenAnswers) {
  BOOST_TEST(!watch.serviceTime().has_value());
  feed.answer({FeedStatus::kOk, {}, 5, seconds(700)});
  time.pause(seconds(2));
  BOOST_TEST((watch.serviceTime() == seconds(702)));
}

BOOST_AUTO_TEST_CASE(AfterAPauseTheFeedIsAskedAgainAtOnce) {
  feed.answer({FeedStatus::kOk, {{"a", "1", 3}}, 5});
  BOOST_TEST(watch.caughtUp());
  auto before = std::exchange(feed.pending, nullptr);
  time.pause(seconds(10));
  watch.onWake();
  BOOST_TEST(!watch.caughtUp());
  BOOST_REQUIRE(static_cast<bool>(feed.pending));
  // The call from before the pause says nothing of what happened since.
  before({FeedStatus::kOk, {{"a", "2", 6}}, 6});
  BOOST_TEST(!watch.caughtUp());
  BOOST_TEST(feed.askedAfter == 5U);
  feed.answer({FeedStatus::kOk, {{"a", std::nullopt, 7}}, 7});
  BOOST_TEST(watch.caughtUp());
  BOOST_TEST(watched.rows.empty());
}

// A version of weights that was named while the node was paused is as old as the pause is long, and
// not as young as the moment at which the node reads of it.
BOOST_AUTO_TEST_CASE(RowsChangedDuringAPauseAreToldApartFromNews) {
  feed.answer({FeedStatus::kOk, {{"a", "1", 3}}, 5});
  feed.pending = nullptr;
  time.pause(seconds(10));
  watch.onWake();
  feed.answer({FeedStatus::kOk, {{"b", "1", 6}}, 6});
  feed.answer({FeedStatus::kOk, {{"c", "1", 7}}, 7});
  BOOST_TEST((watched.sources["b"] == RowSource::kCopy));
  BOOST_TEST((watched.sources["c"] == RowSource::kFeed));
}

// A call that waits for news would leave the node without a proof as long as nothing changes.
BOOST_AUTO_TEST_CASE(NoCallWaitsForNewsUntilOneIsAnsweredAfterAPause) {
  feed.answer({FeedStatus::kOk, {{"a", "1", 3}}, 5});
  feed.pending = nullptr;
  time.pause(seconds(10));
  watch.onWake();
  BOOST_TEST((feed.askedWait == base::Duration::zero()));
  feed.answer({FeedStatus::kUnavailable, {}, 0});
  time.advance(seconds(2));
  BOOST_REQUIRE(static_cast<bool>(feed.pending));
  BOOST_TEST((feed.askedWait == base::Duration::zero()));
  feed.answer({FeedStatus::kOk, {}, 5});
  BOOST_TEST((feed.askedWait > base::Duration::zero()));
}

BOOST_AUTO_TEST_CASE(FailureAfterAPauseIsNoAnswer) {
  feed.answer({FeedStatus::kOk, {{"a", "1", 3}}, 5});
  feed.pending = nullptr;
  time.pause(seconds(10));
  watch.onWake();
  feed.answer({FeedStatus::kUnavailable, {}, 0});
  BOOST_TEST(!watch.caughtUp());
  time.advance(seconds(2));
  feed.answer({FeedStatus::kOk, {}, 5});
  BOOST_TEST(watch.caughtUp());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
