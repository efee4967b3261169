// Calls to the platform's store, against a fake store whose responses the test sets.
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "live/http_server.h"
#include "live/http_test_client.h"

namespace covewing::platform {

using clients::FeedStatus;
using clients::TableStatus;
using nlohmann::json;

namespace {

struct StoreFixture {
  StoreFixture() {
    base::Reason reason;
    address = server.listen({live::kLoopback, 0}, reason).value();
    client = std::make_unique<StoreClient>(http, address);
    client->onEra(
        [this](base::StoreEra era, std::string_view /*source*/) { reportedEras.push_back(era); });
  }

  void handle(const live::HttpExchangePtr& exchange) {
    requests.push_back(exchange->request());
    if (responses.empty()) {
      exchange->abort();
      return;
    }
    const auto [status, body] = responses.front();
    responses.erase(responses.begin());
    live::HttpResponse response{status, {{"Content-Type", "application/json"}}, body};
    if (!eraHeaders.empty()) {
      response.headers.push_back({"Store-Era", eraHeaders.front()});
      if (eraHeaders.size() > 1) eraHeaders.erase(eraHeaders.begin());
    }
    exchange->respond(std::move(response));
  }

  clients::TableReply commit(clients::TableTransaction transaction) {
    std::optional<clients::TableReply> result;
    client->commit(std::move(transaction),
                   [&](clients::TableReply reply) { result = std::move(reply); });
    live::runUntil(context, [&] { return result.has_value(); });
    return *result;
  }

  clients::FeedReply changes() {
    std::optional<clients::FeedReply> result;
    client->changes("op", 530, std::chrono::seconds(1),
                    [&](clients::FeedReply reply) { result = std::move(reply); });
    live::runUntil(context, [&] { return result.has_value(); });
    return *result;
  }

  clients::FeedReply readAll() {
    std::optional<clients::FeedReply> result;
    client->readAll("servers", [&](clients::FeedReply reply) { result = std::move(reply); });
    live::runUntil(context, [&] { return result.has_value(); });
    return *result;
  }

  clients::TableReply scan(base::Revision after, std::size_t limit) {
    std::optional<clients::TableReply> result;
    client->scan("kind/", after, limit,
                 [&](clients::TableReply reply) { result = std::move(reply); });
    live::runUntil(context, [&] { return result.has_value(); });
    return *result;
  }

  boost::asio::io_context context{1};
  std::vector<live::HttpRequest> requests;
  std::vector<std::pair<unsigned, std::string>> responses;
  /// Values of the era header of successive responses; the last one is repeated. If empty,
  /// responses have no era header.
  std::vector<std::string> eraHeaders;
  /// Eras that the client passed to its listener.
  std::vector<base::StoreEra> reportedEras;
  live::HttpServer server{
      context, {}, [this](const live::HttpExchangePtr& exchange) { handle(exchange); }};
  base::Endpoint address;
  live::HttpClient http{context};
  std::unique_ptr<StoreClient> client;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StoreClientTest, StoreFixture)

// Guards against reading the rows from the change feed, which delivers nothing older than its
// history.
BOOST_AUTO_TEST_CASE(RowsWithAPrefixAreReadByKeyRegardlessOfAge) {
  responses = {{200, R"({"ver":90,"has_more":true,"rows":[
                 {"private_key":"kind/a","ver":80,"value":"YQ=="}]})"},
               {200, R"({"ver":91,"has_more":false,"rows":[
                 {"private_key":"kind/b","ver":7,"value":"Yg=="},
                 {"private_key":"kind/c","ver":85,"value":"Yw=="}]})"}};
  const auto reply = scan(0, 2);
  BOOST_TEST(requests[0].target ==
             "/-/rows-get?table=covewing&part=&limit=500&source=kind%2F&target_version=kind0");
  BOOST_TEST(requests[1].target ==
             "/-/rows-get?table=covewing&part=&limit=500&source=kind%2Fa%01&target_version=kind0");
  BOOST_TEST((reply.status == TableStatus::kOk));
  BOOST_REQUIRE(reply.rows.size() == 2U);
  BOOST_TEST(reply.rows[0].key == "kind/b");
  BOOST_TEST(reply.rows[1].key == "kind/a");
  BOOST_TEST(reply.revision == 80U);
}

BOOST_AUTO_TEST_CASE(FailedScanIsNotReportedAsEmpty) {
  responses = {{429, "{}"}};
  BOOST_TEST((scan(0, 10).status == TableStatus::kRateLimited));
  responses = {{503, "{}"}};
  BOOST_TEST((scan(0, 10).status == TableStatus::kUnavailable));
}

BOOST_AUTO_TEST_CASE(TransactionIsEncodedInThePublishedFormat) {
  responses = {{200, R"({"ver":412,"now_ms":51230})"}};
  const auto reply = commit({{{"owner", 0}}, {{"owner", "node-1"}, {"old", std::nullopt}}});
  BOOST_TEST((reply.status == TableStatus::kOk));
  BOOST_TEST(reply.revision == 412U);
  const auto body = json::parse(requests.back().body.text());
  BOOST_TEST(requests.back().target == "/-/rows-tx");
  BOOST_TEST(body["expected_revision"][0]["private_key"] == "owner");
  BOOST_TEST(body["expected_revision"][0]["ver"] == 0);
  BOOST_TEST(body["put"][0]["value"] == "bm9kZS0x");
  BOOST_TEST(body["remove"][0]["private_key"] == "old");
}

BOOST_AUTO_TEST_CASE(ConflictCarriesTheCurrentRows) {
  responses = {{412, R"({"rows":[{"private_key":"owner","value":"bm9kZS0x","ver":9}],"ver":10})"}};
  const auto reply = commit({{{"owner", 0}}, {}});
  BOOST_TEST((reply.status == TableStatus::kConflict));
  BOOST_TEST(reply.rows.front().value == "node-1");
  BOOST_TEST(reply.rows.front().revision == 9U);
}

BOOST_AUTO_TEST_CASE(RefusalsAndLostResponsesAreDistinguished) {
  responses = {{429, ""}, {503, ""}};
  BOOST_TEST((commit({}).status == TableStatus::kRateLimited));
  BOOST_TEST((commit({}).status == TableStatus::kUnavailable));
  BOOST_TEST((commit({}).status == TableStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(FeedDeliversChangesAndRemovals) {
  responses = {{200, R"({"rows":[{"private_key":"config","value":"YQ==","ver":531},
      {"private_key":"x","gone":true,"ver":533}],"ver":533})"}};
  const auto reply = changes();
  BOOST_TEST((reply.status == FeedStatus::kOk));
  BOOST_TEST(reply.rows.size() == 2U);
  BOOST_TEST(reply.rows[0].value.value() == "a");
  BOOST_TEST(!reply.rows[1].value.has_value());
  BOOST_TEST(reply.revision == 533U);
  BOOST_TEST(requests.back().target == "/-/rows-feed?table=op&after=530&wait_ms=1000");
}

// Guards against two faults: treating a row whose value cannot be decoded as removed, and
// discarding the whole response, with all other rows, because the value of one row is not a string.
BOOST_AUTO_TEST_CASE(UnreadableRowIsKeptAndDoesNotAffectOthers) {
  for (const char* value : {"\"*not base64*\"", "7", "null", "{}", "[1]"}) {
    responses = {{200, std::string{R"({"rows":[{"private_key":"odd","value":)"} + value +
                           R"(,"ver":2},{"private_key":"a","value":"YQ==","ver":3}],"ver":5})"}};
    const auto reply = readAll();
    BOOST_TEST((reply.status == FeedStatus::kOk));
    BOOST_REQUIRE(reply.rows.size() == 2U);
    BOOST_REQUIRE(reply.rows[0].value.has_value());
    BOOST_TEST(reply.rows[0].value->empty());
    BOOST_TEST(reply.rows[1].value.value() == "a");
  }
}

BOOST_AUTO_TEST_CASE(LostHistoryIsReported) {
  responses = {{410, ""}, {429, ""}, {503, ""}};
  BOOST_TEST((changes().status == FeedStatus::kHistoryGone));
  BOOST_TEST((changes().status == FeedStatus::kRateLimited));
  BOOST_TEST((changes().status == FeedStatus::kUnavailable));
  BOOST_TEST((changes().status == FeedStatus::kUnavailable));
}

BOOST_AUTO_TEST_CASE(AllPagesAreReadAndTheFirstPagesRevisionIsReported) {
  responses = {
      {200, R"({"rows":[{"private_key":"a","value":"YQ==","ver":3}],"has_more":true,"ver":5})"},
      {200, R"({"rows":[{"private_key":"b","value":"YQ==","ver":6}],"has_more":false,"ver":8})"}};
  const auto reply = readAll();
  BOOST_TEST(reply.rows.size() == 2U);
  BOOST_TEST(reply.revision == 5U);
  BOOST_TEST(requests.back().target.find("source=a%01") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(MalformedResponseIsTreatedAsMissing) {
  responses = {{200, "not json"}};
  BOOST_TEST((commit({}).status == TableStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(EachResponseReportsItsEra) {
  eraHeaders = {"3", "3", "4"};
  responses = {{503, ""},
               {200, R"({"rows":[{"private_key":"a","value":"YQ==","ver":6}],"ver":8})"},
               {410, ""}};
  BOOST_TEST((changes().status == FeedStatus::kUnavailable));
  const auto reply = readAll();
  BOOST_TEST(reply.revision == base::revisionAt(3, 8));
  BOOST_TEST(reply.rows.front().revision == base::revisionAt(3, 6));
  const auto gone = changes();
  BOOST_TEST((gone.status == FeedStatus::kHistoryGone));
  BOOST_TEST(base::eraOf(gone.revision) == 4U);
  BOOST_TEST(reportedEras == (std::vector<base::StoreEra>{3, 3, 4}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ResponseWithUnreadableEraIsTreatedAsMissing) {
  for (const char* name : {"-1", "x", "3x", "99999999999", "65536", "1.5"}) {
    eraHeaders = {name};
    responses = {{200, R"({"rows":[],"ver":8})"}};
    BOOST_TEST((changes().status == FeedStatus::kUnavailable));
  }
  BOOST_TEST(reportedEras.empty());
}

BOOST_AUTO_TEST_CASE(TransactionCarriesTheServicesOwnRevisionNumbers) {
  eraHeaders = {"3"};
  responses = {{200, R"({"rows":[],"ver":8})"}};
  commit({{{"a", base::revisionAt(3, 7)}}, {{"a", "value"}}});
  const auto body = json::parse(requests.back().body.text());
  BOOST_TEST(body["expected_revision"][0]["ver"] == 7);
}

BOOST_AUTO_TEST_CASE(PagesOfTwoErasAreNotCombined) {
  eraHeaders = {"3", "4"};
  responses = {
      {200, R"({"rows":[{"private_key":"a","value":"YQ==","ver":3}],"has_more":true,"ver":5})"},
      {200, R"({"rows":[{"private_key":"b","value":"YQ==","ver":6}],"has_more":false,"ver":8})"}};
  BOOST_TEST((readAll().status == FeedStatus::kHistoryGone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::platform
