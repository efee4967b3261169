// Guards against streams that hold events of two versions of their service's software, within one
// answer or over the attempts of their caller.
#include <boost/test/unit_test.hpp>
#include <set>

#include "relay_fixture.h"

namespace covewing::request {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::string_view kOneEvent = "id: 1\ndata: x\n\n";
constexpr std::string_view kEnd = "id: 2\ndata: y\n\n";

/// Two replicas of each of two versions.
struct VersionFixture : RelayFixture {
  VersionFixture() {
    for (const char* name : {"m1", "m2", "m3"}) {
      softwareVersions.onRemoved(replicas.find(name)->facts(), time.now());
      replicas.onRemoved(name);
    }
    for (const char* name : {"old1", "old2"}) addReplica(name, "llm", 1, "v1");
    for (const char* name : {"new1", "new2"}) addReplica(name, "llm", 1, "v2");
  }

  std::string versionOf(const std::string& instance) const {
    return replicas.find(instance)->facts().softwareVersion;
  }
  std::string lastVersion() const {
    return versionOf(client.sent.back()->terms.replica.instance());
  }
  void remove(const std::string& name) {
    softwareVersions.onRemoved(replicas.find(name)->facts(), time.now());
    replicas.onRemoved(name);
  }
  void removeVersion(const std::string& version) {
    for (const char* name : {"old1", "old2", "new1", "new2"})
      if (replicas.find(name) != nullptr && versionOf(name) == version) remove(name);
  }
  /// Begins a stream whose replica breaks off after the first event. Returns its attempt.
  std::string beginAndBreakOff() {
    request("once");
    client.last().respond(200, kEnd);
    auto& caller = request("resumable");
    const auto attempt = client.last().request->id;
    client.last().head(200);
    client.last().handler->onBody(kOneEvent);
    BOOST_TEST(caller.body == kOneEvent);
    if (const auto open = flow.lock()) open->onCallerDisconnected();
    return attempt;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StreamVersionTest, VersionFixture)

BOOST_AUTO_TEST_CASE(StreamGoesOnWithinAnAnswerAtItsVersionOnly) {
  for (int count = 0; count < 20; ++count) {
    promptText = "a" + std::to_string(count) + ":1000,bb:200";
    auto& caller = request("resumable");
    const auto began = lastVersion();
    const auto first = client.last().terms.replica.instance();
    client.last().head(200);
    client.last().handler->onBody(kOneEvent);
    client.last().breakConnection();
    BOOST_TEST(lastVersion() == began);
    BOOST_TEST(client.last().terms.replica.instance() != first);
    client.last().respond(200, kEnd);
    BOOST_TEST(caller.ended);
    time.advance(seconds(5));
    tables.confirmed = time.now();
  }
}

BOOST_AUTO_TEST_CASE(StreamIsBrokenOffAtOnceIfNoReplicaOfItsVersionIsLeft) {
  auto& caller = request("resumable");
  const auto began = lastVersion();
  const auto attempt = client.sent.back();
  attempt->head(200);
  attempt->handler->onBody(kOneEvent);
  removeVersion(began);
  attempt->breakConnection();
  BOOST_TEST(caller.aborted);
  BOOST_TEST(client.sent.size() == 1U);
}

// Guards against a stream that goes on at the next run of its replica, which may be of another
// software version: until its entry is read, nothing but the refused connections tells of it.
BOOST_AUTO_TEST_CASE(StreamIsNotTakenUpWhereItsReplicaMayHaveRestarted) {
  request("resumable");
  const auto attempt = client.last().request->id;
  const auto replica = client.last().terms.replica;
  client.last().head(200);
  client.last().handler->onBody(kOneEvent);
  for (const char* name : {"old1", "old2", "new1", "new2"})
    if (name != replica.instance()) remove(name);
  reachability.ended.insert(replica.endpoint());
  client.last().breakConnection();
  time.advance(milliseconds(500));
  reachability.ended.clear();
  time.advance(milliseconds(900));
  tables.confirmed = time.now();
  const auto sent = client.sent.size();
  resume(attempt, "1");
  request("resumable");
  BOOST_TEST(client.sent.size() == sent);
  request("once");
  BOOST_TEST(client.sent.size() == sent + 1);
  client.last().respond(200, kEnd);
  replicas.find(replica.instance())->onReachable(time.now());
  time.advance(milliseconds(3100));
  tables.confirmed = time.now();
  resume(attempt, "1");
  BOOST_TEST(client.last().terms.lastEventId == "1");
}

BOOST_AUTO_TEST_CASE(AnyVersionMayBeginAStreamThatHasBroughtNoEvent) {
  auto& caller = request("resumable");
  removeVersion(lastVersion() == "v1" ? "v2" : "v1");
  const auto began = lastVersion();
  client.last().breakConnection();
  BOOST_REQUIRE(client.sent.size() == 2U);
  client.last().respond(200, kOneEvent);
  BOOST_TEST(caller.ended);
  BOOST_TEST(lastVersion() == began);
}

// Guards against a stored version that is not the one that began the stream: before its first event
// a stream may still begin elsewhere.
BOOST_AUTO_TEST_CASE(VersionOfAStreamIsStoredWithItsFirstEvent) {
  request("resumable");
  const auto stream = routing::streamIdOf(client.last().request->id).value;
  const auto first = lastVersion();
  client.last().head(200);
  BOOST_TEST(storedOrigins.empty());
  removeVersion(first);
  client.last().breakConnection();
  BOOST_REQUIRE(lastVersion() != first);
  client.last().head(200);
  client.last().handler->onBody(kOneEvent);
  BOOST_TEST(storedOrigins.at(stream) == lastVersion());
}

BOOST_AUTO_TEST_CASE(VersionIsStoredOnlyForStreamsThatMayBeTakenUp) {
  const auto attempt = beginAndBreakOff();
  BOOST_TEST(storedOrigins.size() == 1U);
  resume(attempt, "1");
  client.last().head(200);
  client.last().handler->onBody("id: 2\ndata: x\n\n");
  BOOST_TEST(storedOrigins.size() == 1U);
}

BOOST_AUTO_TEST_CASE(StreamIsTakenUpAtItsVersionOnly) {
  for (int count = 0; count < 20; ++count) {
    promptText = "a" + std::to_string(count) + ":1000,bb:200";
    const auto attempt = beginAndBreakOff();
    const auto began = lastVersion();
    // The replicas of the other version are idle.
    auto& caller = resume(attempt, "1");
    BOOST_TEST(lastVersion() == began);
    BOOST_TEST(client.last().terms.lastEventId == "1");
    client.last().refuseNotExecuted();
    BOOST_TEST(lastVersion() == began);
    client.last().respond(200, kEnd);
    BOOST_TEST(caller.ended);
    time.advance(seconds(5));
    tables.confirmed = time.now();
  }
}

BOOST_AUTO_TEST_CASE(StreamWhoseVersionIsGoneIsRefusedAtOnceAsNotRun) {
  const auto attempt = beginAndBreakOff();
  removeVersion(lastVersion());
  const auto sent = client.sent.size();
  const auto& caller = resume(attempt, "1");
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == 503U);
  BOOST_TEST((caller.refusal->reason.code == base::ResultCode::kStreamVersionGone));
  BOOST_TEST(client.sent.size() == sent);
}

BOOST_AUTO_TEST_CASE(StreamOfAnUnknownVersionIsRefusedAtOnceAsNotRun) {
  for (const char* attempt : {"another", ""}) {
    const auto& caller = resume(attempt, "1");
    time.advance(milliseconds(200));
    BOOST_REQUIRE(caller.refusal.has_value());
    BOOST_TEST(caller.refusal->status == 503U);
    BOOST_TEST((caller.refusal->reason.code == base::ResultCode::kStreamVersionUnknown));
    BOOST_TEST((caller.refusal->retryAfter > milliseconds(0)));
  }
  BOOST_TEST(client.sent.empty());
}

BOOST_AUTO_TEST_CASE(StreamOfAnUnknownAttemptGoesOnWhereAllReplicasHadOneVersion) {
  removeVersion("v1");
  time.advance(seconds(20));
  tables.confirmed = time.now();
  softwareVersions.onCurrent(time.now());
  auto& caller = resume("another", "1");
  BOOST_REQUIRE(client.sent.size() == 1U);
  client.last().respond(200, kEnd);
  BOOST_TEST(caller.ended);
}

// Guards against a stream that goes on at another service of a split route, whose version may have
// the same name.
BOOST_AUTO_TEST_CASE(StreamIsTakenUpAtTheServiceThatBeganItOnly) {
  auto split = contents();
  split.routes[3].split = {{"llm", 1}, {"llm2", 1}};
  auto second = split.services[1];
  second.name = "llm2";
  split.services.push_back(second);
  useTable(split);
  for (const char* name : {"other1", "other2"}) addReplica(name, "llm2", 1, "v1");
  const auto serviceOf = [this] {
    return replicas.find(client.last().terms.replica.instance())->facts().service;
  };
  for (int count = 0; count < 8; ++count) {
    const auto attempt = beginAndBreakOff();
    const auto began = serviceOf();
    for (int taken = 0; taken < 2; ++taken) {
      auto& caller = resume(attempt, "1");
      BOOST_TEST(serviceOf() == began);
      client.last().respond(200, kEnd);
      BOOST_TEST(caller.ended);
    }
    time.advance(seconds(5));
    tables.confirmed = time.now();
  }
  const auto attempt = beginAndBreakOff();
  const auto began = serviceOf();
  split.version = 2;
  split.routes[3].split = {{began == "llm" ? "llm2" : "llm", 1}};
  useTable(split);
  const auto sent = client.sent.size();
  const auto& caller = resume(attempt, "1");
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST((caller.refusal->reason.code == base::ResultCode::kStreamVersionGone));
  BOOST_TEST(client.sent.size() == sent);
}

// Guards against a stream that goes to an idle replica of the other version instead of waiting.
BOOST_AUTO_TEST_CASE(StreamWaitsForAReplicaOfItsVersionThatIsFull) {
  const auto attempt = beginAndBreakOff();
  const auto began = lastVersion();
  for (const char* name : {"old1", "old2", "new1", "new2"}) {
    if (versionOf(name) == began)
      replicas.find(name)->notices().startBackOff(time.now() + seconds(1));
  }
  const auto sent = client.sent.size();
  auto& caller = resume(attempt, "1");
  time.advance(milliseconds(500));
  BOOST_TEST(caller.open());
  BOOST_TEST(client.sent.size() == sent);
  time.advance(milliseconds(600));
  BOOST_REQUIRE(client.sent.size() == sent + 1);
  BOOST_TEST(lastVersion() == began);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
