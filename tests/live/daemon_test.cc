// Complete nodes with an emulated fleet, all in one process on free loopback ports.
#include "live/daemon.h"

#include <boost/test/unit_test.hpp>
#include <deque>

#include "config/bearer_key.h"
#include "emulator_http/emulated_fleet.h"
#include "live/asio_runtime.h"
#include "live/held_time.h"
#include "live/http_test_client.h"

namespace covewing::live {

namespace {

constexpr std::string_view kOperatorKey = "an-operators-key";
constexpr double kSpeed = 50;

struct Fixture {
  Fixture() {
    emulator_http::EmulatedFleetOptions options;
    options.fleet = emulator::spedUp(emulator::tournamentsFleet(), kSpeed);
    options.fleet.engines = 4;
    fleet = std::make_unique<emulator_http::EmulatedFleet>(context, options, fleetTime, fleetTime);
    base::Reason reason;
    BOOST_REQUIRE_MESSAGE(fleet->start(reason), reason.detail);
    daemon = makeDaemon("node-1", {});
    runUntil(context, [this] { return daemon->node().ready(); });
    createTemplate();
  }

  std::unique_ptr<Daemon> makeDaemon(const std::string& name, std::vector<base::Endpoint> seeds) {
    Settings settings;
    settings.name = name;
    settings.zone = "vn-south-a";
    settings.region = "vn-south";
    settings.callerEndpoint = settings.operatorEndpoint = settings.peerEndpoint =
        settings.metricsEndpoint = {kLoopback, 0};
    settings.seeds = std::move(seeds);
    settings.tableEndpoint = fleet->tableEndpoint();
    settings.objectsEndpoint = fleet->objectStoreEndpoint();
    settings.machinesEndpoint = fleet->machineListEndpoint();
    settings.platformTimeout = std::chrono::seconds(2);
    settings.openRequests = 1000;
    settings.connections = 1000;
    settings.bodyBytes = 1U << 20U;
    settings.headerBytes = 16U << 10U;
    settings.responseBufferBytes = 64U << 10U;
    settings.stallTimeout = std::chrono::seconds(60);
    settings.drainTimeout = std::chrono::seconds(60);
    settings.operatorKey = kOperatorKey;
    settings.routingPolicy = "default";
    settings.freshnessBound = std::chrono::seconds(5);
    auto made = std::make_unique<Daemon>(context, settings, log, node::makeNode);
    base::Reason reason;
    BOOST_REQUIRE_MESSAGE(made->start(reason), reason.detail);
    return made;
  }

  void createTemplate() {
    const std::string body = R"({"key_digests": [")" + config::digestBearerKey("tenant-key") +
                             R"("], "body": {"models": [{"model": "rules"}], "priority": "standard",
            "deadline_ms": 60000, "hold_ms": 60000, "applications": [{"path": "/standings",
            "application": "pairings", "not_repeatable_methods": ["POST"]}]}})";
    const auto response = exchange(daemon->endpoints().operators,
                                   "POST /v1/templates/judges?operation=operation-1&author=test "
                                   "HTTP/1.1\r\nHost: x\r\n"
                                   "Connection: close\r\nAuthorization: Bearer " +
                                       std::string{kOperatorKey} + "\r\nContent-Length: " +
                                       std::to_string(body.size()) + "\r\n\r\n" + body);
    BOOST_REQUIRE_MESSAGE(response.starts_with("HTTP/1.1 200"), response);
  }

  std::string exchange(const base::Endpoint& endpoint, const std::string& request) {
    TestClient client(context, endpoint);
    client.send(request);
    client.waitClosed();
    return client.received();
  }

  std::string get(const base::Endpoint& endpoint, const std::string& path) {
    return exchange(endpoint, "GET " + path +
                                  " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                                  "Authorization: Bearer tenant-key\r\n\r\n");
  }

  static std::string chat(const std::string& question, bool close, int tokens = 20) {
    const std::string body =
        R"({"model": "rules", "stream": true, "max_tokens": )" + std::to_string(tokens) +
        R"(, "messages": [{"role": "user", "content": ")" + question + R"("}]})";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer tenant-key\r\n" +
           std::string{close ? "Connection: close\r\n" : ""} +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  boost::asio::io_context context{1};
  AsioClock clock;
  AsioTimerService timers{context};
  /// Time of the emulated engines and platform services.
  HeldTime fleetTime{clock, timers};
  base::NullEventLog log;
  std::unique_ptr<emulator_http::EmulatedFleet> fleet;
  std::unique_ptr<Daemon> daemon;
};

std::size_t occurrences(std::string_view text, std::string_view part) {
  std::size_t count = 0;
  for (auto position = text.find(part); position != std::string_view::npos;
       position = text.find(part, position + part.size())) {
    ++count;
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(DaemonTest)

BOOST_AUTO_TEST_CASE(EveryKindOfCallIsServed) {
  Fixture fixture;
  const auto& endpoints = fixture.daemon->endpoints();
  const auto response = fixture.exchange(endpoints.caller, Fixture::chat("May I redraw?", true, 5));
  BOOST_TEST(response.starts_with("HTTP/1.1 200"));
  BOOST_TEST(occurrences(response, "\"delta\":{\"content\":") == 5U);
  BOOST_TEST(occurrences(response, "data: [DONE]") == 1U);
  BOOST_TEST(occurrences(fixture.get(endpoints.caller, "/standings"), "pairings-") == 1U);
  BOOST_TEST(fixture.get(endpoints.caller, "/v1/models").starts_with("HTTP/1.1 200"));
  BOOST_TEST(fixture.get(endpoints.caller, "/nowhere").starts_with("HTTP/1.1 4"));
  BOOST_TEST(fixture.get(endpoints.operators, "/v1/templates").starts_with("HTTP/1.1 401"));
  BOOST_TEST(fixture.get(endpoints.metrics, "/readyz").starts_with("HTTP/1.1 200"));
  const auto metrics = fixture.get(endpoints.metrics, "/metrics");
  BOOST_TEST(occurrences(metrics, "covewing_requests_total{code=\"Ok\",kind=\"chat\"} 1") == 1U);
}

BOOST_AUTO_TEST_CASE(PlannedStopUnderLoadCutsNoStream) {
  Fixture fixture;
  constexpr std::size_t kStreams = 40;
  const auto caller = fixture.daemon->endpoints().caller;
  std::deque<TestClient> clients;
  // No stream can end before the stop, however long this process stands still.
  fixture.fleetTime.hold();
  for (std::size_t index = 0; index < kStreams; ++index) {
    clients.emplace_back(fixture.context, caller)
        .send(Fixture::chat("question " + std::to_string(index), index % 2 == 0, 100));
  }
  const auto openRequests = [&fixture] { return fixture.daemon->node().requests().openRequests(); };
  const auto endedStreams = [&clients] {
    return std::ranges::count_if(clients,
                                 [](const auto& client) { return client.has("data: [DONE]"); });
  };
  const auto describe = [&] {
    return std::to_string(openRequests()) + " open requests, " + std::to_string(endedStreams()) +
           " ended";
  };
  runUntil(
      fixture.context, [&] { return openRequests() > kStreams / 2; },
      [&] { return "most requests to be open: " + describe(); });
  // Some streams have started; other requests are waiting in engines.
  runUntil(
      fixture.context,
      [&] {
        // Engines take their next step only when nothing else is left to be done.
        if (fixture.context.poll() == 0) fixture.fleetTime.fireNext();
        return clients.front().has("\"content\":");
      },
      [&] { return "the first stream to start: " + describe(); });
  BOOST_TEST(openRequests() > kStreams / 2);
  bool stopped = false;
  fixture.daemon->drain([&stopped] { stopped = true; });
  BOOST_TEST(!stopped);
  fixture.fleetTime.release();
  runUntil(
      fixture.context, [&stopped] { return stopped; },
      [&] { return "the end of the planned stop: " + describe(); });
  for (auto& client : clients) client.waitClosed();
  std::size_t complete = 0;
  std::size_t refused = 0;
  for (const auto& client : clients) {
    complete += occurrences(client.received(), "data: [DONE]");
    refused += occurrences(client.received(), "\"outcome\":\"not-run\"");
    BOOST_TEST(!client.has("event: error"));
  }
  // Requests not accepted before the stop were refused as not run; no stream was cut off.
  BOOST_TEST(complete + refused == kStreams);
  BOOST_TEST(complete > kStreams / 2);
  BOOST_CHECK_THROW(TestClient(fixture.context, caller), boost::system::system_error);
}

BOOST_AUTO_TEST_CASE(CallerDisconnectCancelsTheRequest) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.daemon->endpoints().caller);
  client.send(Fixture::chat("a long one", false, 1000));
  client.waitFor("\"content\":");
  client.close();
  runUntil(fixture.context, [&] { return fixture.daemon->node().requests().openRequests() == 0; });
}

BOOST_AUTO_TEST_CASE(TemplateReachesANodeThatJoinsLater) {
  Fixture fixture;
  const auto second = fixture.makeDaemon("node-2", {fixture.daemon->endpoints().peer});
  runUntil(fixture.context, [&] {
    return second->node().ready() && second->node().configuration().findByName("judges") != nullptr;
  });
  const auto response =
      fixture.exchange(second->endpoints().caller, Fixture::chat("hello", true, 3));
  BOOST_TEST(occurrences(response, "data: [DONE]") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
