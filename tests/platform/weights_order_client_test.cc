// Format of orders and reports, against a fake replica.
#include "platform/weights_order_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "live/http_server.h"
#include "live/http_test_client.h"
#include "platform/replica_instance.h"

namespace covewing::platform {

namespace {

constexpr std::uint64_t kStart = 1'764'720'000'000;

struct ReplicaFixture {
  ReplicaFixture() {
    base::Reason reason;
    address = server.listen({live::kLoopback, 0}, reason).value();
  }

  clients::ReplicaTarget replica() const { return {replicaInstance, address}; }
  void handle(const live::HttpExchangePtr& exchange) {
    request = exchange->request();
    auto headers = noticeHeaders;
    headers.push_back({"Content-Type", "application/json"});
    exchange->respond({status, std::move(headers), responseBody});
  }

  boost::asio::io_context context{1};
  live::HttpRequest request;
  unsigned status = 200;
  std::string responseBody;
  std::vector<live::HeaderField> noticeHeaders;
  live::HttpServer server{
      context, {}, [this](const live::HttpExchangePtr& exchange) { handle(exchange); }};
  base::Endpoint address;
  live::HttpClient http{context};
  CallIds callIds{"node-7", 0x19};
  WeightsOrderClient client{http, callIds};
  std::string replicaInstance = instanceName("i-7f3a91c2", kStart);
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(WeightsOrderClientTest, ReplicaFixture)

BOOST_AUTO_TEST_CASE(OrderIsEncodedInThePublishedFormatWithTheReplicasIdentifier) {
  status = 202;
  std::optional<clients::WeightsOrderStatus> result;
  client.order(replica(), {"m", 2, "node-7", 41, 3},
               [&](clients::WeightsOrderStatus orderStatus) { result = orderStatus; });
  live::runUntil(context, [&] { return result.has_value(); });
  BOOST_TEST((result == clients::WeightsOrderStatus::kAccepted));
  BOOST_TEST(request.header("X-Covewing-Expected-Instance") == "i-7f3a91c2");
  const auto body = nlohmann::json::parse(request.body.text());
  BOOST_TEST(body["operation"] == "version");
  BOOST_TEST(body["version"] == 2);
  BOOST_TEST(body["fencing_token"] == 41);
  BOOST_TEST(body["expected_revision"] == 3);
}

BOOST_AUTO_TEST_CASE(ReportRequestCarriesTheReplicasIdentifier) {
  responseBody = R"({"models":[{"name":"m","version":2}],"busy":true,"sequence":4,
               "queued_requests":1,"running_requests":12})";
  std::optional<clients::WeightsReport> result;
  client.report(replica(), "m",
                [&](std::optional<clients::WeightsReport> report) { result = report; });
  live::runUntil(context, [&] { return result.has_value(); });
  BOOST_TEST(request.header("X-Covewing-Expected-Instance") == "i-7f3a91c2");
  BOOST_TEST(result->version == 2U);
  BOOST_TEST(result->orders == 4U);
  BOOST_TEST(result->busy);
}

// The response to a refused order also reports that the replica is leaving.
BOOST_AUTO_TEST_CASE(LeavingIsReceivedInResponsesToOrdersAndReports) {
  std::vector<std::string> leavingNotices;
  client.onNotices(
      [&](const std::string& instance, const clients::WeightsCallNotices& callNotices) {
        if (!callNotices.leaving) return;
        leavingNotices.push_back(instance + ' ' + std::string{callNotices.call} + ' ' +
                                 std::to_string(callNotices.responder.status));
      });
  const auto order = [&] {
    bool responded = false;
    client.order(replica(), {"m", 2, "node-7", 41, 3},
                 [&](clients::WeightsOrderStatus /*orderStatus*/) { responded = true; });
    live::runUntil(context, [&] { return responded; });
  };
  const auto report = [&] {
    bool responded = false;
    client.report(replica(), "m", [&](const std::optional<clients::WeightsReport>& /*report*/) {
      responded = true;
    });
    live::runUntil(context, [&] { return responded; });
  };
  order();
  report();
  BOOST_TEST(leavingNotices.empty());
  noticeHeaders = {{"Server-Leaving", "1"}, {"X-Covewing-Instance-Id", "i-7f3a91c2"}};
  status = 409;
  order();
  status = 503;
  report();
  // Another replica responds at the address.
  noticeHeaders.back().value = "i-9";
  status = 421;
  order();
  BOOST_TEST((leavingNotices == std::vector<std::string>{replicaInstance + " order 409",
                                                         replicaInstance + " report 503"}));
}

// Guards against a report of another replica, at an address that was used again, being taken for
// that of the replica that was asked.
BOOST_AUTO_TEST_CASE(ResponsesOfAnotherInstanceAreNotUsedAndAreReported) {
  std::vector<std::string> misdirected;
  client.onNotices([&](const std::string& instance, const clients::WeightsCallNotices& notices) {
    if (notices.responder.otherInstance)
      misdirected.push_back(instance + ' ' + std::string{notices.call} + ' ' +
                            notices.responder.name);
  });
  noticeHeaders = {{"X-Covewing-Instance-Id", "i-9"}};
  responseBody = R"({"models":[{"name":"m","version":2}],"sequence":4})";
  std::optional<std::optional<clients::WeightsReport>> report;
  client.report(replica(), "m",
                [&](std::optional<clients::WeightsReport> received) { report = received; });
  live::runUntil(context, [&] { return report.has_value(); });
  BOOST_TEST(!report->has_value());
  status = 202;
  std::optional<clients::WeightsOrderStatus> ordered;
  client.order(replica(), {"m", 2, "node-7", 41, 3},
               [&](clients::WeightsOrderStatus orderStatus) { ordered = orderStatus; });
  live::runUntil(context, [&] { return ordered.has_value(); });
  BOOST_TEST((ordered == clients::WeightsOrderStatus::kOtherInstance));
  BOOST_TEST((misdirected == std::vector<std::string>{replicaInstance + " report i-9",
                                                      replicaInstance + " order i-9"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::platform
