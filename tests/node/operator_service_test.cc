// Operator calls on templates, against the table service's model.
#include "node/operator_service.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/event_log.h"
#include "emulator/table_model.h"
#include "emulator/virtual_time.h"

namespace covewing::node {

namespace {

using Json = nlohmann::json;

constexpr base::Duration kLongEnough = std::chrono::seconds(30);
const std::string kDigest(64, 'a');

Json documentWith(const std::string& priority, const std::string& digest) {
  return {{"key_digests", {digest}},
          {"body", {{"models", {{{"model", "rules"}}}}, {"priority", priority}}}};
}

/// A node's operator service with everything behind it.
struct OperatorWorld final : config::AcceptedRowSink {
  emulator::VirtualTime time;
  base::SeededRandom random{7};
  base::NullEventLog log;
  emulator::TableModel table{emulator::kTableDefaults, time, time, random};
  config::ConfigurationStore store{{}, time, log};
  config::TemplateEditor editor{{}, time, random, log, table, store, *this};
  std::unique_ptr<OperatorService> service = makeOperatorService({time, editor, store});

  void onAccepted(const platform::TableRow& row) override { store.apply(row); }

  struct Answer {
    base::ResultCode code;
    Json body;
  };

  Answer call(const std::string& method, const std::string& target, const std::string& body = "") {
    std::optional<OperatorResponse> response;
    service->call({method, target, body}, [&](const OperatorResponse& answer) {
      BOOST_REQUIRE(!response);
      response = answer;
    });
    BOOST_TEST(!response);  // never from inside the call
    time.run(kLongEnough);
    BOOST_REQUIRE(response);
    return {response->code, Json::parse(response->body)};
  }

  Answer create(const std::string& name, const std::string& operation) {
    return call("PUT", "/v1/templates/" + name + "?operation=" + operation + "&author=anna",
                documentWith("standard", kDigest).dump());
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(OperatorServiceTest)

BOOST_AUTO_TEST_CASE(CreatesAndListsTemplates) {
  OperatorWorld world;
  const auto created = world.create("market-brno", "op-1");
  BOOST_REQUIRE(created.code == base::ResultCode::kOk);
  const auto listed = world.call("GET", "/v1/templates");
  BOOST_REQUIRE(listed.body["templates"].size() == 1);
  BOOST_TEST(listed.body["templates"][0]["name"] == "market-brno");
  BOOST_TEST(listed.body["templates"][0]["version"] == created.body["version"]);
  BOOST_TEST(listed.body["templates"][0]["author"] == "anna");
}

BOOST_AUTO_TEST_CASE(GetShowsDocumentAndExpansion) {
  OperatorWorld world;
  world.create("market-brno", "op-1");
  const auto got = world.call("GET", "/v1/templates/market-brno");
  BOOST_TEST(got.body["document"]["body"]["priority"] == "standard");
  BOOST_TEST(got.body["expansion"]["priority"] == "standard");
}

BOOST_AUTO_TEST_CASE(RepeatWithTheSameOperationChangesNothing) {
  OperatorWorld world;
  const auto first = world.create("market-brno", "op-1");
  const auto second = world.create("market-brno", "op-1");
  BOOST_TEST((second.code == base::ResultCode::kOk));
  BOOST_TEST(second.body["version"] == first.body["version"]);
}

BOOST_AUTO_TEST_CASE(LostAnswerIsReadBack) {
  OperatorWorld world;
  world.table.conditions().loseNextAnswers(1);
  const auto created = world.create("market-brno", "op-1");
  BOOST_TEST((created.code == base::ResultCode::kOk));
  BOOST_TEST(world.table.conditions().answersLost() == 1U);
}

BOOST_AUTO_TEST_CASE(LostRaceNamesVersionAndHolder) {
  OperatorWorld world;
  const auto created = world.create("market-brno", "op-1");
  const std::string version = created.body["version"].dump();
  const std::string target = "/v1/templates/market-brno?version=" + version + "&operation=";
  const auto changed =
      world.call("PUT", target + "op-2&author=jan", documentWith("urgent", kDigest).dump());
  BOOST_REQUIRE(changed.code == base::ResultCode::kOk);
  const auto lost =
      world.call("PUT", target + "op-3&author=eva", documentWith("background", kDigest).dump());
  BOOST_TEST((lost.code == base::ResultCode::kVersionConflict));
  BOOST_TEST(lost.body["outcome"] == "not-run");
  BOOST_TEST(lost.body["current"]["version"] == changed.body["version"]);
  BOOST_TEST(lost.body["current"]["holder"] == "jan");
}

BOOST_AUTO_TEST_CASE(MistakesNameTheirFields) {
  OperatorWorld world;
  const auto refused = world.call("PUT", "/v1/templates/market-brno?operation=op-1",
                                  documentWith("royal", kDigest).dump());
  BOOST_TEST((refused.code == base::ResultCode::kTemplateInvalid));
  BOOST_TEST(refused.body["field"] == "body.priority");
}

BOOST_AUTO_TEST_CASE(ChangesNeedAnOperation) {
  OperatorWorld world;
  const auto refused = world.call("PUT", "/v1/templates/market-brno", "{}");
  BOOST_TEST((refused.code == base::ResultCode::kInvalidField));
  BOOST_TEST(refused.body["field"] == "operation");
}

BOOST_AUTO_TEST_CASE(RetiredTemplatesAreListedOnRequestOnly) {
  OperatorWorld world;
  const auto created = world.create("market-brno", "op-1");
  const auto retired =
      world.call("DELETE", "/v1/templates/market-brno?operation=op-2&author=jan&version=" +
                               created.body["version"].dump());
  BOOST_REQUIRE(retired.code == base::ResultCode::kOk);
  BOOST_TEST(world.call("GET", "/v1/templates").body["templates"].empty());
  const auto all = world.call("GET", "/v1/templates?retired=true");
  BOOST_TEST(all.body["templates"][0]["state"] == "retired");
}

BOOST_AUTO_TEST_CASE(HistoryHoldsEveryVersionOldestFirst) {
  OperatorWorld world;
  const auto created = world.create("market-brno", "op-1");
  world.call("PUT",
             "/v1/templates/market-brno?operation=op-2&author=jan&version=" +
                 created.body["version"].dump(),
             documentWith("urgent", kDigest).dump());
  const auto history = world.call("GET", "/v1/templates/market-brno/history");
  BOOST_REQUIRE(history.body["versions"].size() == 2);
  BOOST_TEST(history.body["versions"][0]["author"] == "anna");
  BOOST_TEST(history.body["versions"][1]["document"]["body"]["priority"] == "urgent");
}

BOOST_AUTO_TEST_CASE(ExpandChecksWithoutSaving) {
  OperatorWorld world;
  const auto expanded =
      world.call("POST", "/v1/expand?name=trial", documentWith("interactive", kDigest).dump());
  BOOST_TEST(expanded.body["expansion"]["priority"] == "interactive");
  BOOST_TEST(world.store.size() == 0U);
}

BOOST_AUTO_TEST_CASE(StoreDownIsNotRun) {
  OperatorWorld world;
  world.table.conditions().setMode(emulator::ServiceMode::kDown);
  const auto refused = world.create("market-brno", "op-1");
  BOOST_TEST((refused.code == base::ResultCode::kPlatformUnavailable));
  BOOST_TEST(refused.body["outcome"] == "not-run");
}

BOOST_AUTO_TEST_CASE(MalformedTargetsAreRefused) {
  OperatorWorld world;
  for (const char* target : {"", "/", "/v2/templates", "/v1/templates/%zz", "/v1/nothing",
                             "/v1/templates/a/b/c", "/v1/templates/%00"}) {
    BOOST_TEST((world.call("GET", target).code == base::ResultCode::kUnknownPath));
  }
  BOOST_TEST((world.call("PATCH", "/v1/templates/a").code == base::ResultCode::kMethodNotAllowed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
