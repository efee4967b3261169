#include "emulator_http/emulated_fleet.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "base/base64.h"
#include "emulator/expected_answer.h"
#include "live/asio_runtime.h"
#include "live/http_test_client.h"

namespace covewing::emulator_http {

namespace {

using nlohmann::json;

/// A small fleet that runs faster than real time on free ports, and helpers that call it.
struct Fixture {
  boost::asio::io_context context{1};
  live::AsioClock clock;
  live::AsioTimerService timers{context};
  std::unique_ptr<EmulatedFleet> fleet;

  Fixture() {
    EmulatedFleetOptions options;
    options.fleet = emulator::spedUp(emulator::tournamentsFleet(), 100.0);
    options.fleet.engines = 2;
    fleet = std::make_unique<EmulatedFleet>(context, options, clock, timers);
    base::Reason reason;
    BOOST_REQUIRE_MESSAGE(fleet->start(reason), reason.detail);
  }

  /// Sends a request and returns all bytes that the server sends until it closes the connection.
  std::string exchange(const base::Endpoint& endpoint, const std::string& method,
                       const std::string& target, const std::string& body,
                       const std::string& headers = {}) {
    live::TestClient client(context, endpoint);
    client.send(method + " " + target + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n" +
                headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    client.waitClosed();
    return client.received();
  }

  static json bodyOf(const std::string& response) {
    const std::size_t start = response.find("\r\n\r\n");
    return json::parse(response.substr(start + 4), nullptr, false);
  }

  json call(const base::Endpoint& endpoint, const std::string& method, const std::string& target,
            const json& body = json::object()) {
    return bodyOf(exchange(endpoint, method, target, body.dump()));
  }

  void applyAction(const json& action) {
    const json response = call(fleet->adminEndpoint(), "POST", "/admin/actions", action);
    BOOST_TEST(response.value("status", "") == "done");
  }

  base::Endpoint engine(const char* name = "rules-01") { return fleet->endpointOf(name).value(); }

  static json generation(const std::string& prompt, unsigned tokens) {
    return {{"request_id", "q1"},   {"tenant_salt", "00000000000000aa"}, {"model", "rules"},
            {"weights_version", 1}, {"priority", "interactive"},         {"prompt", prompt},
            {"max_tokens", tokens}};
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EmulatedFleetSuite, Fixture)

BOOST_AUTO_TEST_CASE(streamsExpectedResponse) {
  const std::string prompt(640, 'r');
  const std::string response =
      exchange(engine(), "POST", "/v1/generate", generation(prompt, 3).dump());
  BOOST_TEST(response.find("X-Engine-Accepted: 1") != std::string::npos);
  const std::uint64_t hash = emulator::promptHash(prompt);
  for (std::uint64_t position = 0; position < 3; ++position) {
    const std::string event = "data: {\"position\": " + std::to_string(position) +
                              ", \"text\": \"" + emulator::expectedToken(hash, position) + "\"}";
    BOOST_TEST(response.find(event) != std::string::npos);
  }
  BOOST_TEST(response.find("\"output_tokens\":3") != std::string::npos);
  BOOST_TEST(response.find("\"cached_tokens\":0") != std::string::npos);
  const std::string again =
      exchange(engine(), "POST", "/v1/generate", generation(prompt, 3).dump());
  BOOST_TEST(again.find("\"cached_tokens\":160") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(acceptsPromptsInBase64) {
  const std::string prompt("\xff\x00\x01\x02", 4);
  json body = generation("", 1);
  body.erase("prompt");
  body["prompt_base64"] = base::encodeBase64(prompt);
  const std::string response = exchange(engine(), "POST", "/v1/generate", body.dump());
  const auto token = emulator::expectedToken(emulator::promptHash(prompt), 0);
  BOOST_TEST(response.find(token) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(refusalReportsNotRun) {
  json body = generation("prompt", 3);
  body["weights_version"] = 9;
  const std::string response = exchange(engine(), "POST", "/v1/generate", body.dump());
  BOOST_TEST(response.starts_with("HTTP/1.1 409"));
  BOOST_TEST(bodyOf(response).value("outcome", "") == "not-run");
  body["priority"] = "none";
  const json wrong = call(engine(), "POST", "/v1/generate", body);
  BOOST_TEST(wrong.value("detail", "") == "priority");
}

BOOST_AUTO_TEST_CASE(disconnectCancelsExecution) {
  live::TestClient client(context, engine());
  const std::string body = generation("prompt", 0).dump();
  client.send("POST /v1/generate HTTP/1.1\r\nHost: test\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  client.waitFor("\"position\": 1");
  emulator::EngineModel& model = fleet->model().engine(0);
  BOOST_TEST(!model.isIdle());
  client.close();
  live::runUntil(context, [&] { return model.isIdle(); });
  const json log = json::parse(fleet->executionsJson(0, 100));
  BOOST_TEST(log["executions"].back().value("kind", "") == "cancelled");
}

BOOST_AUTO_TEST_CASE(reportsCacheEventsAndOrders) {
  exchange(engine(), "POST", "/v1/generate", generation(std::string(640, 'r'), 1).dump());
  json report;
  do {
    report = call(engine(), "GET", "/v1/report?from=0");
  } while (report.value("next_sequence", 0) < 10);
  BOOST_TEST(report.value("order", "") == "ssssssssss");
  BOOST_TEST(base::decodeBase64(report.value("stored", "")).value().size() == 80U);
  const json snapshot = call(engine(), "GET", "/v1/snapshot");
  BOOST_TEST(snapshot.value("stored", "") == report.value("stored", "none"));
  const json order = {{"order_id", "one"},
                      {"fencing_token", 7},
                      {"kind", "load_weights"},
                      {"weights", {{"model", "rules"}, {"version", 2}, {"adapters", {"vi"}}}}};
  BOOST_TEST(call(engine(), "POST", "/v1/orders", order).value("status", "") == "accepted");
  do {
    report = call(engine(), "GET", "/v1/report?from=0");
  } while (report.value("last_order", "").empty());
  BOOST_TEST(report["weights"].size() == 2U);
  json older = order;
  older["order_id"] = "two";
  older["fencing_token"] = 6;
  const json fenced = call(engine(), "POST", "/v1/orders", older);
  BOOST_TEST(fenced.value("status", "") == "fenced_off");
  BOOST_TEST(fenced.value("fencing_token", 0) == 7);
}

BOOST_AUTO_TEST_CASE(tableServesTransactions) {
  const base::Endpoint table = fleet->tableEndpoint();
  const json create = {{"conditions", {{{"key", "a"}, {"revision", 0}}}},
                       {"writes", {{{"key", "a"}, {"value", "first"}}}}};
  BOOST_TEST(call(table, "POST", "/v1/commit", create).value("revision", 0) == 1);
  const std::string conflict = exchange(table, "POST", "/v1/commit", create.dump());
  BOOST_TEST(conflict.starts_with("HTTP/1.1 409"));
  BOOST_TEST(bodyOf(conflict)["rows"][0].value("value", "") == "first");
  const json read = call(table, "POST", "/v1/read", {{"keys", {"a", "b"}}});
  BOOST_TEST(read["rows"].size() == 1U);
  const json remove = {{"writes", {{{"key", "a"}, {"value", nullptr}}}}};
  BOOST_TEST(call(table, "POST", "/v1/commit", remove).value("revision", 0) == 2);
  const json scan = call(table, "POST", "/v1/scan", {{"prefix", ""}, {"after", 0}});
  BOOST_TEST(scan["rows"].empty());
  const json wrong = call(table, "POST", "/v1/commit", {{"writes", {{{"key", "a"}}}}});
  BOOST_TEST(wrong.value("outcome", "") == "not-run");
}

BOOST_AUTO_TEST_CASE(tableLosesResponsesAfterCommit) {
  applyAction({{"action", "service"}, {"service", "table"}, {"lose_next_answers", 1}});
  const json write = {{"writes", {{{"key", "a"}, {"value", "kept"}}}}};
  BOOST_TEST(exchange(fleet->tableEndpoint(), "POST", "/v1/commit", write.dump()).empty());
  BOOST_TEST(fleet->model().table().readNow({"a"}).rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(downServiceRefusesConnections) {
  applyAction({{"action", "service"}, {"service", "table"}, {"mode", "down"}});
  BOOST_CHECK_THROW(live::TestClient(context, fleet->tableEndpoint()), std::exception);
  applyAction({{"action", "service"}, {"service", "table"}, {"mode", "normal"}});
  const json read = call(fleet->tableEndpoint(), "POST", "/v1/read", {{"keys", {"a"}}});
  BOOST_TEST(read["rows"].empty());
}

BOOST_AUTO_TEST_CASE(objectStoreReturnsStoredBytes) {
  const base::Endpoint store = fleet->objectStoreEndpoint();
  BOOST_TEST(exchange(store, "GET", "/v1/objects/x", "").starts_with("HTTP/1.1 404"));
  BOOST_TEST(exchange(store, "PUT", "/v1/objects/x", "bytes").starts_with("HTTP/1.1 200"));
  BOOST_TEST(exchange(store, "GET", "/v1/objects/x", "").ends_with("\r\n\r\nbytes"));
}

BOOST_AUTO_TEST_CASE(crashedEngineRestartsEmptyOnSamePort) {
  const base::Endpoint endpoint = engine();
  exchange(endpoint, "POST", "/v1/generate", generation(std::string(640, 'r'), 1).dump());
  live::TestClient running(context, endpoint);
  const std::string body = generation("prompt", 0).dump();
  running.send("POST /v1/generate HTTP/1.1\r\nHost: test\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
  running.waitFor("\"position\": 1");
  applyAction({{"action", "crash"}, {"machine", "rules-01"}});
  running.waitClosed();
  BOOST_TEST(!running.has("\"end\""));
  BOOST_CHECK_THROW(live::TestClient(context, endpoint), std::exception);
  applyAction({{"action", "restart"}, {"machine", "rules-01"}});
  json report;
  do {
    report = call(endpoint, "GET", "/v1/report?from=0");
  } while (report["weights"].empty());
  BOOST_TEST(report.value("incarnation", 0) == 2);
  BOOST_TEST(report["load"].value("cached_blocks", 1) == 0);
}

BOOST_AUTO_TEST_CASE(leavingEngineFinishesRequestsAndExits) {
  live::TestClient running(context, engine());
  const std::string body = generation("prompt", 50).dump();
  running.send("POST /v1/generate HTTP/1.1\r\nHost: test\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
  running.waitFor("\"position\": 1");
  applyAction({{"action", "leave"}, {"machine", "rules-01"}});
  running.waitFor("\"end\"");
  BOOST_TEST(running.has("\"end\""));
  json machines;
  std::string text;
  do {
    text = exchange(fleet->machineListEndpoint(), "GET", "/v1/machines", "");
  } while (text.find("rules-01") != std::string::npos);
  BOOST_CHECK_THROW(live::TestClient(context, engine()), std::exception);
}

BOOST_AUTO_TEST_CASE(applicationEchoesRequestId) {
  const base::Endpoint application = fleet->endpointOf("pairings-01").value();
  const std::string response =
      exchange(application, "POST", "/pairings/4", "table", "X-Request-Id: q9\r\n");
  BOOST_TEST(response.find("X-Request-Id: q9") != std::string::npos);
  BOOST_TEST(bodyOf(response).value("target", "") == "/pairings/4");
  applyAction({{"action", "application_faults"}, {"machine", "*"}, {"refuse", 1.0}});
  const std::string refused = exchange(application, "POST", "/pairings/4", "table");
  BOOST_TEST(refused.find("X-Not-Run: 1") != std::string::npos);
  applyAction({{"action", "application_faults"}, {"machine", "*"}, {"lose_answer", 1.0}});
  BOOST_TEST(exchange(application, "POST", "/pairings/4", "table").empty());
  BOOST_TEST(fleet->model().application(0).executions() == 2U);
}

BOOST_AUTO_TEST_CASE(applicationSwapsResponses) {
  const base::Endpoint application = fleet->endpointOf("pairings-01").value();
  applyAction({{"action", "application_faults"},
               {"machine", "*"},
               {"cross_answer", 1.0},
               {"delay_ms", 60'000}});
  live::TestClient first(context, application);
  live::TestClient second(context, application);
  first.send("GET /a HTTP/1.1\r\nHost: test\r\nX-Request-Id: first\r\n\r\n");
  second.send("GET /b HTTP/1.1\r\nHost: test\r\nX-Request-Id: second\r\n\r\n");
  first.waitFor("/b");
  second.waitFor("/a");
  BOOST_TEST(first.has("X-Request-Id: second"));
  BOOST_TEST(second.has("X-Request-Id: first"));
}

BOOST_AUTO_TEST_CASE(invalidActionsReportField) {
  const base::Endpoint admin = fleet->adminEndpoint();
  const auto detail = [&](const json& action) {
    return call(admin, "POST", "/admin/actions", action).value("detail", "");
  };
  BOOST_TEST(detail({{"action", "explode"}}) == "action");
  BOOST_TEST(detail({{"action", "crash"}}) == "machine");
  BOOST_TEST(detail({{"action", "crash"}, {"machine", "none"}}) == "machine: none");
  BOOST_TEST(detail({{"action", "service"}, {"service", "disk"}}) == "service");
  BOOST_TEST(detail({{"action", "cache_events"}, {"machine", "*"}, {"loss_rate", 2}}) ==
             "loss_rate");
}

BOOST_AUTO_TEST_CASE(scenarioAppliesActionsAtTheirTimes) {
  base::Reason reason;
  const auto scenario = parseScenario(
      R"({"actions": [{"at_ms": 5, "action": "crash", "machine": "rules-02"},
                      {"at_ms": 25, "action": "restart", "machine": "rules-02"}]})",
      reason);
  BOOST_REQUIRE(scenario.has_value());
  BOOST_TEST(scenario->size() == 2U);
  fleet->schedule(*scenario);
  emulator::EngineModel& model = fleet->model().engine(1);
  live::runUntil(context, [&] { return !model.isUp(); });
  live::runUntil(context, [&] { return model.isUp(); });
  BOOST_TEST(model.incarnation() == 2U);
  BOOST_TEST(!parseScenario(R"({"actions": [{"action": "crash"}]})", reason).has_value());
  BOOST_TEST(reason.detail == "actions[0]: machine");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::emulator_http
