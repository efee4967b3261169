#include "emulator/application_model.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>

#include "emulator/virtual_time.h"

using namespace std::chrono_literals;

namespace covewing::emulator {

namespace {

using clients::ApplicationRequest;
using clients::ApplicationResponse;
using clients::ApplicationResult;
using clients::DispatchError;
using clients::DispatchFailure;

class ExecutionCounter final : public ExecutionObserver {
 public:
  void onApplicationExecuted(const ApplicationExecution& execution) override {
    ++byKey[execution.idempotencyKey];
    ++byRequest[execution.requestId.value];
  }
  std::map<std::string, int> byKey;
  std::map<std::string, int> byRequest;
};

struct Fixture : TestWorld {
  ApplicationModelOptions options;
  ExecutionCounter counter;
  std::unique_ptr<ApplicationModel> application;
  std::map<std::string, std::vector<ApplicationResult>> answers;

  Fixture() {
    options.name = "payments-01";
    options.application = "payments";
    make();
  }
  void make() {
    application = std::make_unique<ApplicationModel>(options, &counter, time, time, random);
  }
  void call(const std::string& id) {
    ApplicationRequest request;
    request.requestId.value = id;
    request.method = "POST";
    request.target = "/payments/" + id;
    request.headers = {{"Idempotency-Key", "key-" + id}};
    request.body = "honey";
    application->call(std::move(request), [this, id](ApplicationResult result) {
      answers[id].push_back(std::move(result));
    });
  }
  const ApplicationResponse& response(const std::string& id) {
    return std::get<ApplicationResponse>(answers.at(id).at(0));
  }
  DispatchFailure failure(const std::string& id) {
    return std::get<DispatchError>(answers.at(id).at(0)).failure;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ApplicationModelSuite, Fixture)

BOOST_AUTO_TEST_CASE(executesOnceAndAnswersItsCaller) {
  call("a");
  BOOST_TEST(answers.empty());
  time.run(1s);
  BOOST_TEST(response("a").requestId.value == "a");
  const auto body = nlohmann::json::parse(response("a").body);
  BOOST_TEST(body.value("target", "") == "/payments/a");
  BOOST_TEST(body.value("request_id", "") == "a");
  BOOST_TEST(counter.byKey["key-a"] == 1);
}

BOOST_AUTO_TEST_CASE(refusedCallsDoNotRun) {
  application->faults().refuse = 1.0;
  call("a");
  BOOST_TEST((failure("a") == DispatchFailure::kRefusedNotRun));
  application->faults().refuse = 0.0;
  call("b");
  application->leave();
  call("c");
  time.run(1s);
  BOOST_TEST(response("b").status == 200U);
  BOOST_TEST((failure("c") == DispatchFailure::kRefusedNotRun));
  BOOST_TEST(counter.byRequest.size() == 1U);
}

BOOST_AUTO_TEST_CASE(lostAnswersWereExecuted) {
  application->faults().loseAnswer = 1.0;
  call("a");
  time.run(1s);
  BOOST_TEST((failure("a") == DispatchFailure::kOutcomeUnknown));
  BOOST_TEST(counter.byRequest["a"] == 1);
}

BOOST_AUTO_TEST_CASE(delayedAnswersComeLate) {
  application->faults().delayAnswer = 1.0;
  application->faults().delay = 5s;
  call("a");
  time.run(4900ms);
  BOOST_TEST(counter.byRequest["a"] == 1);
  BOOST_TEST(answers.empty());
  time.run(1s);
  BOOST_TEST(response("a").requestId.value == "a");
}

BOOST_AUTO_TEST_CASE(crossedAnswersCarryTheOtherIdentifier) {
  application->faults().crossAnswer = 1.0;
  application->faults().delay = 500ms;
  call("a");
  call("b");
  call("c");
  time.run(100ms);
  BOOST_TEST(answers.size() == 2U);
  time.run(1s);
  int crossed = 0;
  for (const auto& [id, results] : answers) {
    BOOST_TEST(results.size() == 1U);
    if (response(id).requestId.value != id) ++crossed;
  }
  BOOST_TEST(answers.size() == 3U);
  BOOST_TEST(crossed == 2);
}

BOOST_AUTO_TEST_CASE(repeatedAnswersComeTwice) {
  application->faults().repeatAnswer = 1.0;
  call("a");
  time.run(1s);
  BOOST_TEST(answers["a"].size() == 2U);
  BOOST_TEST(counter.byRequest["a"] == 1);
}

BOOST_AUTO_TEST_CASE(crashLeavesOutcomesUnknown) {
  options.serviceTime = 100ms;
  options.serviceJitter = 0.0;
  make();
  call("executed");
  time.run(60ms);
  call("waiting");
  application->crash();
  BOOST_TEST((failure("executed") == DispatchFailure::kOutcomeUnknown));
  BOOST_TEST((failure("waiting") == DispatchFailure::kOutcomeUnknown));
  call("down");
  BOOST_TEST((failure("down") == DispatchFailure::kNotSent));
  application->restart();
  call("after");
  time.run(1s);
  BOOST_TEST(response("after").status == 200U);
  BOOST_TEST(counter.byRequest["executed"] == 1);
  BOOST_TEST(counter.byRequest["waiting"] == 0);
}

BOOST_AUTO_TEST_CASE(pausedReplicaGoesOnLater) {
  call("a");
  application->pause();
  call("b");
  time.run(5s);
  BOOST_TEST(answers.empty());
  BOOST_TEST(counter.byRequest.empty());
  application->resume();
  time.run(1s);
  BOOST_TEST(answers.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::emulator
