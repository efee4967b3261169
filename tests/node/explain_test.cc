// Traces of requests: capacity, lookup and JSON form.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "node/explain_json.h"
#include "node/explain_log.h"

namespace covewing::node {

namespace {

std::shared_ptr<request::RequestTrace> traceOf(const std::string& id) {
  auto trace = std::make_shared<request::RequestTrace>();
  trace->id.value = id;
  return trace;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ExplainTest)

BOOST_AUTO_TEST_CASE(KeepsTheLastRecords) {
  ExplainLog log(2);
  for (const char* id : {"a", "b", "c"}) log.add(traceOf(id));
  BOOST_TEST(log.size() == 2U);
  BOOST_TEST(log.find({"a"}) == nullptr);
  BOOST_TEST(log.find({"c"})->id.value == "c");
}

BOOST_AUTO_TEST_CASE(JsonNamesDecisionsAttemptsAndRefusal) {
  const auto trace = traceOf("node-1-3-7");
  trace->progress = request::RequestProgress::kRefused;
  trace->subject = "bad \xff bytes";
  trace->decisions.push_back({});
  trace->decisions.back().chosen = "rules-1";
  request::AttemptTrace attempt;
  attempt.name = "rules-1";
  attempt.failure = clients::DispatchFailure::kNotSent;
  attempt.reason.code = base::ResultCode::kBackEndUnreachable;
  trace->attempts.push_back(attempt);
  trace->refusal =
      request::Refusal{{base::ResultCode::kBackEndUnreachable, ""}, request::Outcome::kNotRun, {}};
  const auto json = nlohmann::json::parse(explainJson(*trace));
  BOOST_TEST(json["decisions"][0]["chosen"] == "rules-1");
  BOOST_TEST(json["attempts"][0]["failure"] == "not-sent");
  BOOST_TEST(json["refusal"]["outcome"] == "not-run");
  BOOST_TEST(json["refusal"]["name"] == "BackEndUnreachable");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
