// Operator calls with the model of the table service and a fixed list of engines.
#include "node/operator_service.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/event_log.h"
#include "emulator/table_model.h"
#include "emulator/virtual_time.h"
#include "node/fleet_catalogue.h"

namespace covewing::node {

namespace {

using Json = nlohmann::json;

constexpr base::Duration kLongEnough = std::chrono::seconds(30);
const std::string kDigest(64, 'a');

Json documentWith(const std::string& priority, const std::string& digest) {
  return {{"key_digests", {digest}},
          {"body", {{"models", {{{"model", "rules"}}}}, {"priority", priority}}}};
}

struct FixedMembers final : membership::MemberDirectory {
  FixedMembers() {
    membership::Member self;
    self.name = "node-1";
    self.id = base::nodeIdOf(self.name);
    self.zone = "brno-1";
    self.region = "brno-south";
    members.push_back(self);
  }
  const membership::Member& self() const override { return members.front(); }
  const std::vector<membership::Member>& liveMembers() const override { return members; }
  const membership::Member* find(base::NodeId id) const override {
    return id == members.front().id ? &members.front() : nullptr;
  }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return 1; }
  std::vector<membership::Member> members;
};

struct FixedFleet final : engine_routing::FleetView {
  FixedFleet() {
    for (const char* name : {"prices-1", "prices-2"}) {
      engine_routing::EngineState engine;
      engine.address = {base::engineIdOf(name), name, {}};
      engine.zone = "brno-1";
      engine.region = "brno-south";
      engine.weights = {{"prices", 3, {"honey"}}};
      list.push_back(engine);
    }
  }
  const std::vector<engine_routing::EngineState>& engines() const override { return list; }
  const engine_routing::EngineState* find(base::EngineId) const override { return nullptr; }
  std::vector<clients::BackEndAddress> applicationReplicas(std::string_view) const override {
    return {};
  }
  base::WeightsVersion defaultVersion(std::string_view) const override { return 3; }
  std::vector<engine_routing::EngineState> list;
};

// Engines that never respond.
struct UnresponsiveEngines final : clients::EngineClient {
  std::unique_ptr<clients::EngineStream> start(const clients::BackEndAddress&,
                                               clients::EngineRequest,
                                               clients::EngineStreamHandler&) override {
    return nullptr;
  }
  void poll(const clients::BackEndAddress&, std::uint64_t,
            std::function<void(std::optional<clients::EngineReport>)>) override {}
  void snapshot(const clients::BackEndAddress&,
                std::function<void(std::optional<clients::EngineReport>)>) override {}
  void order(const clients::BackEndAddress&, clients::EngineOrder,
             std::function<void(clients::OrderReply)>) override {}
};

struct NoPeers final : base::PeerTransport {
  void send(const base::Endpoint&, base::Channel, std::string) override {}
};

/// A node's operator service with all its dependencies.
struct OperatorFixture final : config::AcceptedRowSink {
  emulator::VirtualTime time;
  base::SeededRandom random{7};
  base::NullEventLog log;
  emulator::TableModel table{emulator::kTableDefaults, time, time, random};
  config::ConfigurationStore store{{}, time, log};
  config::TemplateEditor editor{{}, time, random, log, table, store, *this};
  FixedMembers members;
  FixedFleet fleet;
  FleetCatalogue catalogue{fleet};
  UnresponsiveEngines engines;
  NoPeers peers;
  ExplainLog explainLog;
  coordination::Coordinator coordinator{
      {.region = "brno-south", .loadSlots = 2, .lease = {}, .executor = {}},
      {time, time, random, log, peers, table, engines, members, catalogue}};
  std::unique_ptr<OperatorService> service = makeOperatorService(
      {time, time, editor, store, coordinator, catalogue, members, fleet, explainLog, [] {
         return NodeActivity{true, false, 5};
       }});

  void onAccepted(const clients::TableRow& row) override { store.apply(row); }

  struct Response {
    base::ResultCode code;
    Json body;
  };

  Response call(const std::string& method, const std::string& target,
                const std::string& body = "") {
    std::optional<OperatorResponse> response;
    service->call({method, target, body}, [&](const OperatorResponse& received) {
      BOOST_REQUIRE(!response);
      response = received;
    });
    BOOST_TEST(!response);  // the callback must not run inside the call
    time.run(kLongEnough);
    BOOST_REQUIRE(response);
    return {response->code, Json::parse(response->body)};
  }

  Response create(const std::string& name, const std::string& operation) {
    return call("PUT", "/v1/templates/" + name + "?operation=" + operation + "&author=anna",
                documentWith("standard", kDigest).dump());
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(OperatorServiceTest)

BOOST_AUTO_TEST_CASE(CreatesAndListsTemplates) {
  OperatorFixture fixture;
  const auto created = fixture.create("market-brno", "op-1");
  BOOST_REQUIRE(created.code == base::ResultCode::kOk);
  const auto listed = fixture.call("GET", "/v1/templates");
  BOOST_REQUIRE(listed.body["templates"].size() == 1);
  BOOST_TEST(listed.body["templates"][0]["name"] == "market-brno");
  BOOST_TEST(listed.body["templates"][0]["version"] == created.body["version"]);
  BOOST_TEST(listed.body["templates"][0]["author"] == "anna");
}

BOOST_AUTO_TEST_CASE(GetShowsDocumentAndExpansion) {
  OperatorFixture fixture;
  fixture.create("market-brno", "op-1");
  const auto got = fixture.call("GET", "/v1/templates/market-brno");
  BOOST_TEST(got.body["document"]["body"]["priority"] == "standard");
  BOOST_TEST(got.body["expansion"]["priority"] == "standard");
}

BOOST_AUTO_TEST_CASE(RepeatWithTheSameOperationChangesNothing) {
  OperatorFixture fixture;
  const auto first = fixture.create("market-brno", "op-1");
  const auto second = fixture.create("market-brno", "op-1");
  BOOST_TEST((second.code == base::ResultCode::kOk));
  BOOST_TEST(second.body["version"] == first.body["version"]);
}

BOOST_AUTO_TEST_CASE(LostReplyIsReadBack) {
  OperatorFixture fixture;
  fixture.table.conditions().loseNextAnswers(1);
  const auto created = fixture.create("market-brno", "op-1");
  BOOST_TEST((created.code == base::ResultCode::kOk));
  BOOST_TEST(fixture.table.conditions().answersLost() == 1U);
}

BOOST_AUTO_TEST_CASE(LostRaceNamesVersionAndHolder) {
  OperatorFixture fixture;
  const auto created = fixture.create("market-brno", "op-1");
  const std::string version = created.body["version"].dump();
  const std::string target = "/v1/templates/market-brno?version=" + version + "&operation=";
  const auto changed =
      fixture.call("PUT", target + "op-2&author=jan", documentWith("urgent", kDigest).dump());
  BOOST_REQUIRE(changed.code == base::ResultCode::kOk);
  const auto lost =
      fixture.call("PUT", target + "op-3&author=eva", documentWith("background", kDigest).dump());
  BOOST_TEST((lost.code == base::ResultCode::kVersionConflict));
  BOOST_TEST(lost.body["outcome"] == "not-run");
  BOOST_TEST(lost.body["current"]["version"] == changed.body["version"]);
  BOOST_TEST(lost.body["current"]["holder"] == "jan");
}

BOOST_AUTO_TEST_CASE(MistakesNameTheirFields) {
  OperatorFixture fixture;
  const auto refused = fixture.call("PUT", "/v1/templates/market-brno?operation=op-1",
                                    documentWith("royal", kDigest).dump());
  BOOST_TEST((refused.code == base::ResultCode::kTemplateInvalid));
  BOOST_TEST(refused.body["field"] == "body.priority");
}

BOOST_AUTO_TEST_CASE(ChangesNeedAnOperation) {
  OperatorFixture fixture;
  const auto refused = fixture.call("PUT", "/v1/templates/market-brno", "{}");
  BOOST_TEST((refused.code == base::ResultCode::kInvalidField));
  BOOST_TEST(refused.body["field"] == "operation");
}

BOOST_AUTO_TEST_CASE(RetiredTemplatesAreListedOnRequestOnly) {
  OperatorFixture fixture;
  const auto created = fixture.create("market-brno", "op-1");
  const auto retired =
      fixture.call("DELETE", "/v1/templates/market-brno?operation=op-2&author=jan&version=" +
                                 created.body["version"].dump());
  BOOST_REQUIRE(retired.code == base::ResultCode::kOk);
  BOOST_TEST(fixture.call("GET", "/v1/templates").body["templates"].empty());
  const auto all = fixture.call("GET", "/v1/templates?retired=true");
  BOOST_TEST(all.body["templates"][0]["state"] == "retired");
}

BOOST_AUTO_TEST_CASE(HistoryHoldsEveryVersionOldestFirst) {
  OperatorFixture fixture;
  const auto created = fixture.create("market-brno", "op-1");
  fixture.call("PUT",
               "/v1/templates/market-brno?operation=op-2&author=jan&version=" +
                   created.body["version"].dump(),
               documentWith("urgent", kDigest).dump());
  const auto history = fixture.call("GET", "/v1/templates/market-brno/history");
  BOOST_REQUIRE(history.body["versions"].size() == 2);
  BOOST_TEST(history.body["versions"][0]["author"] == "anna");
  BOOST_TEST(history.body["versions"][1]["document"]["body"]["priority"] == "urgent");
}

BOOST_AUTO_TEST_CASE(ExpandChecksWithoutSaving) {
  OperatorFixture fixture;
  const auto expanded =
      fixture.call("POST", "/v1/expand?name=trial", documentWith("interactive", kDigest).dump());
  BOOST_TEST(expanded.body["expansion"]["priority"] == "interactive");
  BOOST_TEST(fixture.store.size() == 0U);
}

BOOST_AUTO_TEST_CASE(UnavailableStoreIsReportedAsNotRun) {
  OperatorFixture fixture;
  fixture.table.conditions().setMode(emulator::ServiceMode::kDown);
  const auto refused = fixture.create("market-brno", "op-1");
  BOOST_TEST((refused.code == base::ResultCode::kPlatformUnavailable));
  BOOST_TEST(refused.body["outcome"] == "not-run");
}

BOOST_AUTO_TEST_CASE(OrderIsCreatedOnceShownAndListed) {
  OperatorFixture fixture;
  const std::string body = R"({"kind": "swap", "model": "prices", "version": 4})";
  const auto created = fixture.call("POST", "/v1/orders?operation=op-1&author=anna", body);
  BOOST_REQUIRE(created.code == base::ResultCode::kOk);
  BOOST_TEST(created.body["steps"].size() == 2U);
  BOOST_TEST(created.body["minimum_serving"] == 1);
  const auto repeated = fixture.call("POST", "/v1/orders?operation=op-1&author=anna", body);
  BOOST_TEST(repeated.body["id"] == created.body["id"]);
  const std::string id = created.body["id"].get<std::string>();
  BOOST_TEST(fixture.call("GET", "/v1/orders/" + id).body["author"] == "anna");
  BOOST_TEST(fixture.call("GET", "/v1/orders").body["orders"].size() == 1U);
}

BOOST_AUTO_TEST_CASE(OperationOfAnotherOrderIsAConflict) {
  OperatorFixture fixture;
  fixture.call("POST", "/v1/orders?operation=op-1&author=anna",
               R"({"kind": "swap", "model": "prices", "version": 4})");
  const auto other = fixture.call("POST", "/v1/orders?operation=op-1&author=jan",
                                  R"({"kind": "swap", "model": "prices", "version": 5})");
  BOOST_TEST((other.code == base::ResultCode::kVersionConflict));
  BOOST_TEST(other.body["current"]["holder"] == "anna");
}

BOOST_AUTO_TEST_CASE(OrderMistakesNameTheirFields) {
  struct Case {
    const char* body;
    const char* field;
  };
  const Case cases[] = {
      {R"({"model": "prices", "version": 4})", "kind"},
      {R"({"kind": "move"})", "kind"},
      {R"({"kind": "load", "model": "prices"})", "version"},
      {R"({"kind": "load", "model": "prices", "version": -1})", "version"},
      {R"({"kind": "load", "version": 4})", "model"},
      {R"({"kind": "load", "model": "prices", "version": 4, "colour": 1})", "colour"},
      {R"({"kind": "load", "model": "prices", "version": 4, "engines": ["none"]})", "engines[0]"},
      {R"({"kind": "load", "model": "prices", "version": 4, "count": 9})", "engines"},
      {R"({"kind": "load", "model": "prices", "version": 4, "region": "vn"})", "region"},
      {R"({"kind": "role", "role": "standby"})", "engines"},
      {R"({"kind": "swap", "model": "labels", "version": 4})", "engines"},
      {R"([])", ""},
  };
  OperatorFixture fixture;
  for (const Case& each : cases) {
    const auto refused = fixture.call("POST", "/v1/orders?operation=op-1", each.body);
    BOOST_TEST((refused.code == base::ResultCode::kOrderInvalid), each.body);
    BOOST_TEST(refused.body["field"] == each.field, each.body);
  }
  BOOST_TEST((fixture.call("POST", "/v1/orders?operation=op-1", "{").code ==
              base::ResultCode::kMalformedJson));
  BOOST_TEST(fixture.table.revision() == 0U);
}

BOOST_AUTO_TEST_CASE(CancelMarksTheOrderAndUnknownOnesAreNotFound) {
  OperatorFixture fixture;
  const auto created = fixture.call("POST", "/v1/orders?operation=op-1&author=anna",
                                    R"({"kind": "load", "model": "prices", "version": 4})");
  const std::string target = "/v1/orders/" + created.body["id"].get<std::string>();
  BOOST_TEST(fixture.call("DELETE", target + "?operation=op-2").body["cancel_requested"] == true);
  BOOST_TEST((fixture.call("GET", "/v1/orders/none").code == base::ResultCode::kOrderNotFound));
  BOOST_TEST((fixture.call("PUT", target).code == base::ResultCode::kMethodNotAllowed));
}

BOOST_AUTO_TEST_CASE(FleetShowsEnginesAndHomes) {
  OperatorFixture fixture;
  const auto fleet = fixture.call("GET", "/v1/fleet");
  BOOST_REQUIRE(fleet.body["engines"].size() == 2U);
  BOOST_TEST(fleet.body["engines"][0]["weights"][0]["version"] == 3);
  BOOST_TEST(fleet.body["engines"][0]["homes"][0] == "node-1");
}

BOOST_AUTO_TEST_CASE(NodeShowsMembersFreshnessLeaseAndRequests) {
  OperatorFixture fixture;
  fixture.coordinator.start();
  fixture.time.run(std::chrono::seconds(5));
  const auto node = fixture.call("GET", "/v1/node");
  BOOST_TEST(node.body["open_requests"] == 5);
  BOOST_TEST(node.body["lease"]["holder"] == "node-1");
  BOOST_TEST(node.body["lease"]["held"] == true);
  BOOST_TEST(node.body["members"][0]["name"] == "node-1");
  BOOST_TEST(node.body["configuration"]["confirmed"] == false);
}

BOOST_AUTO_TEST_CASE(ExplainShowsTheRecordOfARequest) {
  OperatorFixture fixture;
  auto trace = std::make_shared<request::RequestTrace>();
  trace->id = {"node-1.1.7"};
  trace->tenant = "market-brno";
  fixture.explainLog.add(trace);
  BOOST_TEST(fixture.call("GET", "/v1/requests/node-1.1.7").body["tenant"] == "market-brno");
  BOOST_TEST((fixture.call("GET", "/v1/requests/none").code == base::ResultCode::kRequestNotFound));
}

BOOST_AUTO_TEST_CASE(MalformedTargetsAreRefused) {
  OperatorFixture fixture;
  for (const char* target : {"", "/", "/v2/templates", "/v1/templates/%zz", "/v1/nothing",
                             "/v1/templates/a/b/c", "/v1/templates/%00"}) {
    BOOST_TEST((fixture.call("GET", target).code == base::ResultCode::kUnknownPath));
  }
  BOOST_TEST(
      (fixture.call("PATCH", "/v1/templates/a").code == base::ResultCode::kMethodNotAllowed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
