#include "sim/platform_clients.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "emulator/expected_answer.h"
#include "sim/application_host.h"
#include "sim/engine_client.h"

namespace covewing::sim {
namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

/// One client host beside a platform host, an engine and an application replica.
struct Fixture {
  Scheduler scheduler;
  Network network{scheduler, NetworkOptions{}, 1};
  Process client{scheduler, "client", 1};
  Process platform{scheduler, "platform", 1};
  HostId clientHost = add(client, 1, "a1");
  HostId platformHost = add(platform, 2, "a2");
  emulator::TableModel table{emulator::kTableDefaults, platform, platform, platform};
  emulator::WeightStoreModel weights{{}, platform, platform};
  std::unique_ptr<EngineHost> engine = makeEngine();
  std::unique_ptr<ApplicationHost> application = makeApplication();
  SimEngineClient engines{network, clientHost, [this](HostId host) -> EngineHost* {
                            return host == engine->host() ? engine.get() : nullptr;
                          }};

  HostId add(Process& process, std::uint32_t number, const char* zone) {
    process.start();
    return network.addHost(process, {number, 1}, zone, "a");
  }
  std::unique_ptr<EngineHost> makeEngine() {
    EngineHostOptions options;
    options.model.name = "engine-1";
    options.model.weights = {{"m", 1, {}}};
    options.endpoint = {3, 1};
    options.zone = "a2";
    options.region = "a";
    emulator::EngineSurroundings surroundings;
    surroundings.weightStore = &weights;
    return std::make_unique<EngineHost>(network, options, surroundings, 1);
  }
  std::unique_ptr<ApplicationHost> makeApplication() {
    ApplicationPlacement placement;
    placement.model.name = "app-1";
    placement.model.application = "app";
    placement.location = {"a2", "a"};
    return std::make_unique<ApplicationHost>(network, placement, base::Endpoint{4, 1}, nullptr, 1);
  }
  void runFor(base::Duration duration) { scheduler.runUntil(scheduler.now() + duration); }
  static clients::EngineRequest engineRequest() {
    clients::EngineRequest request;
    request.requestId = {"r1"};
    request.identity.model = "m";
    request.identity.weightsVersion = 1;
    request.prompt = std::make_shared<const std::string>("prompt");
    request.maximumTokens = 20;
    return request;
  }
  clients::BackEndAddress engineAddress() const {
    return {engine->model().id(), "engine-1", {3, 1}};
  }
};

struct RecordingHandler final : clients::EngineStreamHandler {
  std::uint64_t chunks = 0;
  bool accepted = false;
  std::optional<clients::StreamEnd> end;
  std::optional<clients::DispatchError> error;
  void onAccepted() override { accepted = true; }
  void onChunk(clients::StreamChunk chunk) override {
    BOOST_TEST(chunk.position == chunks);
    ++chunks;
  }
  void onEnd(clients::StreamEnd got) override { end = std::move(got); }
  void onError(clients::DispatchError got) override { error = std::move(got); }
};

BOOST_FIXTURE_TEST_SUITE(PlatformClientsTest, Fixture)

BOOST_AUTO_TEST_CASE(tableAnswersAcrossTheNetwork) {
  SimTableClient tableClient(network, clientHost, platformHost, table);
  std::optional<clients::TableReply> reply;
  tableClient.commit({{}, {{"k", "v"}}}, [&](clients::TableReply got) { reply = got; });
  runFor(seconds(1));
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST((reply->status == clients::TableStatus::kOk));
  BOOST_TEST(network.traffic(clientHost).controlSent() > 0U);
}

BOOST_AUTO_TEST_CASE(answerLostToACutIsUnknownAndTheChangeMayBeInForce) {
  SimTableClient tableClient(network, clientHost, platformHost, table);
  std::optional<clients::TableReply> reply;
  tableClient.commit({{}, {{"k", "v"}}}, [&](clients::TableReply got) { reply = got; });
  runFor(std::chrono::microseconds(3800));
  network.cutZone("a2", true);
  runFor(seconds(5));
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST((reply->status == clients::TableStatus::kUnknown));
  BOOST_TEST(table.revision() == 1U);
}

BOOST_AUTO_TEST_CASE(noPathMeansThatNothingWasSent) {
  SimTableClient tableClient(network, clientHost, platformHost, table);
  network.cutZone("a2", true);
  std::optional<clients::TableReply> reply;
  tableClient.commit({{}, {{"k", "v"}}}, [&](clients::TableReply got) { reply = got; });
  runFor(seconds(5));
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST((reply->status == clients::TableStatus::kUnavailable));
}

BOOST_AUTO_TEST_CASE(crashedClientHearsNothing) {
  SimTableClient tableClient(network, clientHost, platformHost, table);
  int answers = 0;
  tableClient.commit({{}, {{"k", "v"}}}, [&](const clients::TableReply&) { ++answers; });
  client.crash();
  network.breakConnections(clientHost);
  client.start();
  runFor(seconds(5));
  BOOST_TEST(answers == 0);
}

BOOST_AUTO_TEST_CASE(streamArrivesWholeAndInOrder) {
  RecordingHandler handler;
  const auto stream = engines.start(engineAddress(), engineRequest(), handler);
  runFor(seconds(5));
  BOOST_TEST(handler.accepted);
  BOOST_TEST(handler.chunks == 20U);
  BOOST_TEST(handler.end.has_value());
}

BOOST_AUTO_TEST_CASE(engineCrashLeavesTheOutcomeUnknown) {
  RecordingHandler handler;
  const auto stream = engines.start(engineAddress(), engineRequest(), handler);
  runFor(milliseconds(100));
  BOOST_TEST(handler.chunks > 0U);
  engine->crash();
  runFor(seconds(1));
  BOOST_REQUIRE(handler.error.has_value());
  BOOST_TEST((handler.error->failure == clients::DispatchFailure::kOutcomeUnknown));
  RecordingHandler second;
  const auto refused = engines.start(engineAddress(), engineRequest(), second);
  runFor(seconds(1));
  BOOST_REQUIRE(second.error.has_value());
  BOOST_TEST((second.error->failure == clients::DispatchFailure::kNotSent));
}

BOOST_AUTO_TEST_CASE(destroyedStreamCancelsTheEnginesWork) {
  RecordingHandler handler;
  auto stream = engines.start(engineAddress(), engineRequest(), handler);
  runFor(milliseconds(100));
  const auto before = handler.chunks;
  stream.reset();
  runFor(seconds(1));
  BOOST_TEST(handler.chunks == before);
  BOOST_TEST(engine->model().isIdle());
}

BOOST_AUTO_TEST_CASE(pausedStreamHoldsChunksBack) {
  RecordingHandler handler;
  const auto stream = engines.start(engineAddress(), engineRequest(), handler);
  stream->setPaused(true);
  runFor(seconds(5));
  BOOST_TEST(handler.chunks == 0U);
  stream->setPaused(false);
  runFor(milliseconds(1));
  BOOST_TEST(handler.end.has_value());
}

/// Calls the application once: 0 without an answer, 1 with its own, 2 with another call's.
unsigned callOnce(Fixture& fixture, SimApplicationClient& applications, const std::string& id,
                  base::Duration timeout) {
  clients::ApplicationRequest request;
  request.requestId = {id};
  request.method = "POST";
  request.target = "/x";
  request.timeout = timeout;
  std::string answered;
  applications.call(
      {base::engineIdOf("app-1"), "app-1", {4, 1}}, request,
      [&](clients::ApplicationResult result) {
        if (const auto* response = std::get_if<clients::ApplicationResponse>(&result)) {
          answered = response->body;
        }
      });
  fixture.runFor(timeout + milliseconds(1));
  if (answered.empty()) return 0;
  return answered.find("\"request_id\":\"" + id + "\"") != std::string::npos ? 1 : 2;
}

BOOST_AUTO_TEST_CASE(lateAnswerNeverReachesAnotherCall) {
  const auto lookup = [this](HostId host) -> emulator::ApplicationModel* {
    return host == application->host() ? &application->model() : nullptr;
  };
  SimApplicationClient applications(network, clientHost, lookup, {});
  application->model().faults().delayAnswer = 1;
  application->model().faults().delay = milliseconds(30);
  BOOST_TEST(callOnce(*this, applications, "first", milliseconds(25)) == 0U);
  application->model().faults().delayAnswer = 0;
  BOOST_TEST(callOnce(*this, applications, "second", seconds(1)) == 1U);

  SimApplicationClient faulty(network, clientHost, lookup, ExchangeFaults{true});
  application->model().faults().delayAnswer = 1;
  BOOST_TEST(callOnce(*this, faulty, "third", milliseconds(25)) == 0U);
  BOOST_TEST(callOnce(*this, faulty, "fourth", seconds(1)) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
}  // namespace
}  // namespace covewing::sim
