#include "config/template_document.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "config/bearer_key.h"

namespace covewing::config {

namespace {

constexpr std::string_view kBase = R"({
  "kind": "base",
  "parameters": {
    "model": {"type": "text", "allowed": ["prices", "rules"]},
    "rate": {"type": "number", "default": 2.5, "minimum": 0.5, "maximum": 50},
    "hold": {"type": "integer", "default": 1500, "minimum": 0, "maximum": 5000},
    "region": {"type": "text", "default": "south"}
  },
  "body": {
    "models": [{"model": "${model}", "adapters": ["${model}-${region}"]}],
    "priority": "interactive",
    "limits": {"requests_per_second": "${rate}", "burst": 4, "concurrency": 8},
    "deadline_ms": 4000, "hold_ms": "${hold}",
    "when_stale": "refuse",
    "applications": [{"path": "/payments", "application": "payments",
                      "not_repeatable_methods": ["POST"]}]
  }
})";

std::string tenant(const std::string& values) {
  return R"({"base": "market", "key_digests": [")" + digestBearerKey("key") + R"("], "values": )" +
         values + "}";
}

std::optional<TenantTemplate> expandOn(std::string_view baseText, const std::string& tenantText,
                                       std::vector<FieldMistake>& mistakes) {
  const auto base = parseTemplateDocument(baseText, mistakes);
  const auto document = parseTemplateDocument(tenantText, mistakes);
  if (!base || !document) return std::nullopt;
  return expandTemplate("stall-1", *document, &*base, mistakes);
}

std::vector<FieldMistake> mistakesOf(std::string_view text) {
  std::vector<FieldMistake> mistakes;
  const auto document = parseTemplateDocument(text, mistakes);
  if (document && !document->isBase) expandTemplate("t", *document, nullptr, mistakes);
  return mistakes;
}

bool names(const std::vector<FieldMistake>& mistakes, std::string_view path) {
  return std::any_of(mistakes.begin(), mistakes.end(),
                     [&](const FieldMistake& mistake) { return mistake.path == path; });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(TemplateDocumentTest)

BOOST_AUTO_TEST_CASE(TenantTakesItsBodyFromTheBaseAndItsValuesFromItself) {
  std::vector<FieldMistake> mistakes;
  const auto expanded = expandOn(kBase, tenant(R"({"model": "prices", "hold": 900})"), mistakes);
  BOOST_TEST(toText(mistakes) == "");
  BOOST_REQUIRE(expanded.has_value());
  BOOST_TEST(expanded->models.at(0).model == "prices");
  BOOST_TEST(expanded->models.at(0).adapters.at(0) == "prices-south");
  BOOST_TEST(expanded->limits.requestsPerSecond == 2.5);
  BOOST_TEST((expanded->holdTime == std::chrono::milliseconds(900)));
  BOOST_TEST((expanded->deadline == std::chrono::seconds(4)));
  BOOST_TEST((expanded->whenStale == StaleChoice::kRefuse));
  BOOST_TEST((expanded->priority == base::PriorityClass::kInteractive));
  BOOST_TEST(expanded->applications.at(0).notRepeatableMethods.at(0) == "POST");
  BOOST_TEST((expanded->id == base::tenantIdOf("stall-1")));
}

BOOST_AUTO_TEST_CASE(EveryRefusedValueIsReported) {
  std::vector<FieldMistake> mistakes;
  BOOST_TEST(
      !expandOn(kBase, tenant(R"({"model": "poems", "rate": 99, "hold": 1.5, "x": 1})"), mistakes));
  BOOST_TEST(names(mistakes, "values.model"));
  BOOST_TEST(names(mistakes, "values.rate"));
  BOOST_TEST(names(mistakes, "values.hold"));
  BOOST_TEST(names(mistakes, "values.x"));
  BOOST_TEST(mistakes.size() == 4U);
}

BOOST_AUTO_TEST_CASE(ParameterWithoutDefaultMustBeGiven) {
  std::vector<FieldMistake> mistakes;
  BOOST_TEST(!expandOn(kBase, tenant("{}"), mistakes));
  BOOST_TEST(names(mistakes, "values.model"));
}

BOOST_AUTO_TEST_CASE(EveryMistakeOfADocumentIsReportedWithItsPath) {
  const auto mistakes = mistakesOf(R"({
    "kind": "tenant", "colour": "red", "key_digests": ["abc"],
    "parameters": {"p": {"type": "integer", "default": "many"}, "q": {}},
    "body": {}})");
  BOOST_TEST(names(mistakes, "colour"));
  BOOST_TEST(names(mistakes, "key_digests[0]"));
  BOOST_TEST(names(mistakes, "parameters.p.default"));
  BOOST_TEST(names(mistakes, "parameters.q.type"));
}

BOOST_AUTO_TEST_CASE(EveryMistakeOfABodyIsReportedWithItsPath) {
  const auto mistakes = mistakesOf(R"({"key_digests": [")" + digestBearerKey("k") + R"("],
    "body": {"models": [{"model": "m", "version": -1}, {"adapters": [""]}], "priority": "royal",
             "limits": {"burst": 1e300, "speed": 1}, "deadline_ms": 0, "retry": [],
             "applications": [{"path": "x", "application": ""}]}})");
  for (const std::string_view path :
       {"body.models[0].version", "body.models[1].model", "body.models[1].adapters[0]",
        "body.priority", "body.limits.burst", "body.limits.speed", "body.deadline_ms", "body.retry",
        "body.applications[0].path", "body.applications[0].application"}) {
    BOOST_TEST(names(mistakes, path), path);
  }
}

BOOST_AUTO_TEST_CASE(UnknownPlaceholderIsAMistake) {
  const auto mistakes = mistakesOf(R"({"key_digests": [")" + digestBearerKey("k") +
                                   R"("], "body": {"models": [{"model": "${nothing}"}]}})");
  BOOST_TEST(names(mistakes, "body.models[0].model"));
}

BOOST_AUTO_TEST_CASE(FieldGivenTwiceIsAMistake) {
  BOOST_TEST(toText(mistakesOf(R"({"base": "a", "values": {"rate": 1, "rate": 2}})")) ==
             "field \"rate\" is given twice in one object");
}

BOOST_AUTO_TEST_CASE(BaseIsCheckedByItself) {
  std::vector<FieldMistake> mistakes;
  const auto sound = parseTemplateDocument(kBase, mistakes);
  checkBaseDocument(sound.value(), mistakes);
  BOOST_TEST(toText(mistakes) == "");
  const auto broken = parseTemplateDocument(
      R"({"kind": "base", "body": {"models": [{"model": "m"}], "hold_ms": "soon"}})", mistakes);
  checkBaseDocument(broken.value(), mistakes);
  BOOST_TEST(names(mistakes, "body.hold_ms"));
}

BOOST_AUTO_TEST_CASE(SizeAndDepthAreBounded) {
  BOOST_TEST(!mistakesOf(std::string(1'000'000, '[')).empty());
  BOOST_TEST(!mistakesOf(std::string(kMaximumDocumentDepth + 1, '[') +
                         std::string(kMaximumDocumentDepth + 1, ']'))
                  .empty());
  BOOST_TEST(
      !mistakesOf(R"({"body": ")" + std::string(kMaximumDocumentBytes, 'x') + "\"}").empty());
  BOOST_TEST(!mistakesOf("{\"base\": \"\xff\xfe\"}").empty());
}

BOOST_AUTO_TEST_CASE(PlainKeysAreDigested) {
  const auto text = withDigestedKeys(R"({"keys": ["secret"], "base": "b"})");
  BOOST_REQUIRE(text.has_value());
  BOOST_TEST(text->find("secret") == std::string::npos);
  BOOST_TEST(text->find(digestBearerKey("secret")) != std::string::npos);
}

RC_BOOST_PROP(ArbitraryTextNeverThrows, (const std::string& text)) {
  std::vector<FieldMistake> mistakes;
  RC_ASSERT(parseTemplateDocument(text, mistakes).has_value() || !mistakes.empty());
}

RC_BOOST_PROP(DocumentWithOneByteChangedNeverThrows, (std::uint16_t position, char byte)) {
  std::string text(kBase);
  text.at(position % text.size()) = byte;
  std::vector<FieldMistake> mistakes;
  const auto base = parseTemplateDocument(text, mistakes);
  if (base && base->isBase) checkBaseDocument(*base, mistakes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
