// Guards against missing rows after the table service has been restored from a backup that is some
// seconds old and assigns row versions a second time. A node then requests the changes after its
// own position, which belongs to the lost history. Once the new version counter has passed that
// position, the service responds as usual, and the node never receives the rows written in between:
// it continues to accept revoked keys, while each response seems to confirm that it has all rows:
//
//     event=3010 name=ConfigurationConfirmed version="23" revision="531" age_ms="12"
//     (the operators had written version 25, as revision 528 of the new history)
//
// If the counter is still below the position, the service responds with 410. The node then reads
// all rows, and must not skip those whose versions are lower than the ones it received before.
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>

#include "base/base64.h"
#include "config/shared_feed.h"
#include "config/table_watch.h"
#include "live/asio_runtime.h"
#include "live/http_server.h"
#include "live/http_test_client.h"
#include "platform/store_client.h"
#include "support/recording_log.h"

namespace covewing::platform {

using nlohmann::json;

namespace {

constexpr const char* kTable = "op";
constexpr const char* kKey = "config";

/// Fake store with one table, which responds at once.
class RestorableStore {
 public:
  void put(const std::string& key, const std::string& value) { rows_[key] = {value, ++version_}; }
  /// Restores the given rows from a backup that was made when the table had the version `version`.
  void restoreFromBackup(std::map<std::string, std::pair<std::string, std::uint64_t>> rows,
                         std::uint64_t version) {
    rows_ = std::move(rows);
    version_ = version;
    ++era_;
  }

  void handle(const live::HttpExchangePtr& exchange) {
    const auto& target = exchange->request().target;
    const bool readsAllRows = target.starts_with("/-/rows-get");
    const auto after = readsAllRows ? 0 : numberIn(target, "&after=");
    live::HttpResponse response{200, {{"Content-Type", "application/json"}}, {}};
    if (era_ > 0) response.headers.push_back({"Store-Era", std::to_string(era_)});
    if (after > version_) {
      response.status = 410;
      response.body = "{}";
    } else {
      response.body = rowsAfter(after);
    }
    exchange->respond(std::move(response));
  }

 private:
  static std::uint64_t numberIn(const std::string& target, const std::string& name) {
    return std::stoull(target.substr(target.find(name) + name.size()));
  }
  std::string rowsAfter(std::uint64_t after) const {
    json rows = json::array();
    for (const auto& [key, row] : rows_) {
      const auto& [value, version] = row;
      if (version <= after) continue;
      rows.push_back({{"table", kTable},
                      {"part", ""},
                      {"private_key", key},
                      {"value", base::encodeBase64(value)},
                      {"ver", version}});
    }
    return json{{"rows", rows}, {"ver", version_}, {"now_ms", 1000}, {"has_more", false}}.dump();
  }

  std::map<std::string, std::pair<std::string, std::uint64_t>> rows_;
  std::uint64_t version_ = 0;
  unsigned era_ = 0;
};

/// Directory of a fleet that consists of this node only.
class SingleMemberDirectory final : public membership::MemberDirectory {
 public:
  const membership::Member& self() const override { return members_.front(); }
  const std::vector<membership::Member>& liveMembers() const override { return members_; }
  const membership::Member* find(base::NodeId /*id*/) const override { return nullptr; }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return 1; }

 private:
  std::vector<membership::Member> members_{membership::Member{}};
};

struct DiscardingPeerTransport final : base::PeerTransport {
  void send(const base::Endpoint& /*destination*/, base::Channel /*channel*/,
            std::string /*payload*/) override {}
};

struct RecordedRows final : config::TableWatchListener {
  void onRow(const clients::FeedRow& row, config::RowSource /*source*/) override {
    rows[row.key] = *row.value;
  }
  void onRemoved(const clients::FeedRow& row) override { rows.erase(row.key); }
  void onCurrent() override { ++current; }
  void onFailure(clients::FeedStatus /*status*/) override {}
  std::map<std::string, std::string> rows;
  int current = 0;
};

struct StoreRestoreFixture {
  StoreRestoreFixture() {
    for (int version = 1; version <= 23; ++version) store.put(kKey, std::to_string(version));
    // Heartbeat rows of replicas raise the table's version far above that of the configuration row.
    for (int heartbeat = 0; heartbeat < 500; ++heartbeat) store.put("heartbeat", "");
    eras.onReturn([this](const config::StoreReturn&) { watch.onStoreReturned(); });
    client.onEra([this](base::StoreEra era, std::string_view source) { eras.note(era, source); });
    watch.start();
    awaitCurrent(2);
    BOOST_TEST(recorded.rows[kKey] == "23");
  }

  /// Runs until the feed has confirmed that many more times that the recorded rows are current.
  void awaitCurrent(int confirmations) {
    const int awaitedCount = recorded.current + confirmations;
    live::runUntil(context, [&] { return recorded.current >= awaitedCount; });
  }

  boost::asio::io_context context{1};
  RestorableStore store;
  live::HttpServer server{
      context, {}, [this](const live::HttpExchangePtr& exchange) { store.handle(exchange); }};
  live::HttpClient http{context};
  base::Reason reason;
  base::Endpoint address = server.listen({live::kLoopback, 0}, reason).value();
  StoreClient client{http, address};
  live::AsioClock clock;
  live::AsioTimerService timers{context};
  base::SeededRandom random{1};
  test_support::RecordingLog log;
  DiscardingPeerTransport peers;
  SingleMemberDirectory members;
  config::StoreEras eras{clock, log};
  config::SharedFeed feed{{}, {clock, timers, random, log, peers, members, client, eras}};
  RecordedRows recorded;
  config::TableWatch watch{{kTable}, clock, timers, random, feed, recorded};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StoreReturnTest, StoreRestoreFixture)

BOOST_AUTO_TEST_CASE(RowsWrittenBelowTheFormerPositionAreRead) {
  store.restoreFromBackup({{kKey, {"20", 20}}}, 500);
  store.put(kKey, "25");
  // Writes of others raise the new counter above the node's position before its next request.
  for (int heartbeat = 0; heartbeat < 60; ++heartbeat) store.put("heartbeat", "");
  awaitCurrent(5);
  BOOST_TEST(recorded.rows[kKey] == "25");
}

BOOST_AUTO_TEST_CASE(RowsWithLowerVersionsThanBeforeAreAccepted) {
  store.restoreFromBackup({{kKey, {"20", 20}}}, 30);
  store.put("heartbeat", "");
  awaitCurrent(5);
  store.put("heartbeat", "again");
  store.put(kKey, "25");
  awaitCurrent(5);
  BOOST_TEST(recorded.rows[kKey] == "25");
  BOOST_TEST(recorded.rows["heartbeat"] == "again");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::platform
