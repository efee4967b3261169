// During a rolling upgrade nodes of two builds exchange messages. A message of the later build may
// have fields that the earlier build does not have; these are ignored. A message of the earlier
// build lacks these fields, and a missing age must not be taken as a low one.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "admission/quota_messages.h"
#include "config/feed_messages.h"
#include "coordination/lease_messages.h"
#include "membership/membership_message.h"
#include "node/peer_frame.h"
#include "quarantine/quarantine_messages.h"
#include "routing/load_messages.h"
#include "routing/part_messages.h"
#include "routing/placement_messages.h"
#include "routing/stream_origin_messages.h"

namespace covewing::node {

using std::chrono::milliseconds;

namespace {

/// An encoded message, and a function that decodes and encodes bytes in its place.
struct Sample {
  std::string name;
  std::string payload;
  /// Decodes a message and returns its encoding; empty if the bytes cannot be decoded.
  std::function<std::optional<std::string>(std::string_view)> reencode;
};

template <class Decode, class Encode>
Sample sample(std::string name, std::string payload, Decode decode, Encode encode) {
  return {std::move(name), std::move(payload),
          [decode, encode](std::string_view bytes) -> std::optional<std::string> {
            const auto message = decode(bytes);
            return message ? std::optional<std::string>{encode(*message)} : std::nullopt;
          }};
}

/// Returns the message with only its first `kept` fields, and with one more field if `oneMore`.
std::string withFields(std::string_view payload, std::size_t kept, bool oneMore) {
  const auto handle = msgpack::unpack(payload.data(), payload.size());
  const auto& fields = handle.get().via.array;
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(static_cast<std::uint32_t>(kept + (oneMore ? 1 : 0)));
  for (std::size_t field = 0; field < kept; ++field) packer.pack(fields.ptr[field]);
  if (oneMore) packer.pack(std::string{"a field of a later build"});
  return {buffer.data(), buffer.size()};
}

std::size_t fieldsOf(std::string_view payload) {
  return msgpack::unpack(payload.data(), payload.size()).get().via.array.size;
}

config::FeedAnswer feedReply() {
  config::FeedAnswer reply;
  reply.nonce = 7;
  reply.rows = {{"config", "value", 12}};
  reply.revision = 12;
  reply.held = milliseconds(300);
  reply.age = milliseconds(40);
  reply.changedAgo = {milliseconds(900)};
  reply.serviceTime = milliseconds(123456);
  reply.era = 3;
  return reply;
}

template <class Message>
void addFeed(std::vector<Sample>& samples, const std::string& name, const Message& message) {
  samples.push_back(sample(name, config::encodeFeedMessage(message), config::decodeFeedMessage,
                           config::encodeFeedMessage));
}

template <class Message>
void addPart(std::vector<Sample>& samples, const std::string& name, const Message& message) {
  samples.push_back(sample(name, routing::encode(routing::PartMessage{message}),
                           routing::decodePartMessage,
                           [](const routing::PartMessage& read) { return routing::encode(read); }));
}

template <class Message>
void addPlacement(std::vector<Sample>& samples, const std::string& name, const Message& message) {
  samples.push_back(sample(
      name, routing::encode(routing::PlacementMessage{message}), routing::decodePlacementMessage,
      [](const routing::PlacementMessage& read) { return routing::encode(read); }));
}

template <class Message>
void addStreamOrigin(std::vector<Sample>& samples, const std::string& name,
                     const Message& message) {
  samples.push_back(
      sample(name, routing::encode(routing::StreamOriginMessage{message}),
             routing::decodeStreamOriginMessage,
             [](const routing::StreamOriginMessage& read) { return routing::encode(read); }));
}

template <class Message>
void addQuota(std::vector<Sample>& samples, const std::string& name, const Message& message) {
  samples.push_back(sample(name, admission::encode(message), admission::decodeQuotaMessage,
                           [](const admission::QuotaMessage& read) {
                             return std::visit(
                                 [](const auto& typed) { return admission::encode(typed); }, read);
                           }));
}

template <class Message>
void addQuarantine(std::vector<Sample>& samples, const std::string& name, const Message& message) {
  samples.push_back(sample(name, quarantine::encode(message), quarantine::decodeQuarantineMessage,
                           [](const quarantine::QuarantineMessage& read) {
                             return std::visit(
                                 [](const auto& typed) { return quarantine::encode(typed); }, read);
                           }));
}

template <class Message>
void addMembership(std::vector<Sample>& samples, const std::string& name, const Message& message) {
  samples.push_back(
      sample(name, membership::encode(message), membership::decodeMembershipMessage,
             [](const membership::MembershipMessage& read) { return membership::encode(read); }));
}

std::string encodeCoordination(const coordination::CoordinationMessage& message) {
  if (message.announcement) return coordination::encodeLeaseWritten(*message.announcement);
  if (message.record) return coordination::encodeReplicaChange(*message.record);
  return coordination::encodeCoordinationMessage(message.type);
}

/// One sample of every message type that relaying nodes exchange.
std::vector<Sample> samples() {
  std::vector<Sample> all;
  addFeed(all, "FeedQuestion", config::FeedQuestion{7, "op", 11, milliseconds(700), false, 3});
  addFeed(all, "FeedAnswer", feedReply());
  addPart(all, "PartQuery", routing::PartQuery{1, 2, 3});
  addPart(all, "PartReply", routing::PartReply{1, {{{4}, 5}}});
  addPart(all, "PartUpdate", routing::PartUpdate{1, {{4}, 5}, true});
  addStreamOrigin(all, "StreamReport",
                  routing::StreamReport{{1}, {"llm", "v1.2", 2}, milliseconds(6000)});
  addStreamOrigin(all, "StreamQuery", routing::StreamQuery{7, {1}, "llm"});
  addStreamOrigin(all, "StreamReply",
                  routing::StreamReply{7, routing::StreamOrigin{"llm", "v1.2", 2},
                                       routing::SoleVersion{"v1", milliseconds(900)}});
  addStreamOrigin(all, "StreamReply of a node that saw another version go",
                  routing::StreamReply{
                      7, {}, routing::SoleVersion{"v1", milliseconds(900), milliseconds(300)}});
  routing::PlacementQuery query;
  query.id = 3;
  query.model = "m";
  query.parts = {{9, 800}};
  query.acceptableWait = milliseconds(200);
  query.rateLimit = {clients::RateLimitNotice::of(2.5), milliseconds(70)};
  addPlacement(all, "PlacementQuery", query);
  routing::PlacementReply reply;
  reply.leaving = true;
  reply.rateLimit = {clients::RateLimitNotice::of(2.5), milliseconds(70)};
  reply.paced = true;
  addPlacement(all, "PlacementReply", reply);
  addPlacement(all, "UngrantedDispatch", routing::UngrantedDispatch{1, {2}, {}, {}, true});
  addPlacement(
      all, "PlacementStarted",
      routing::PlacementStarted{
          1, {2}, true, clients::RateLimitNotice::of(2.5), clients::RateLimitNotice::of(3)});
  routing::PlacementEnded ended;
  ended.leaving = true;
  ended.rateLimit = clients::RateLimitNotice::unlimited();
  ended.notSent = true;
  ended.refusalLimit = clients::RateLimitNotice::of(3);
  addPlacement(all, "PlacementEnded", ended);
  all.push_back(sample("LoadUpdate", routing::encode(routing::LoadUpdate{4, {}}),
                       routing::decodeLoadUpdate,
                       [](const routing::LoadUpdate& update) { return routing::encode(update); }));
  addQuota(all, "QuotaLeaseRequest", admission::QuotaLeaseRequest{});
  addQuota(all, "QuotaLeaseReply", admission::QuotaLeaseReply{});
  addQuota(all, "QuotaCorrection", admission::QuotaCorrection{});
  addQuarantine(all, "CrashReport", quarantine::CrashReport{{1}, {{2}}});
  addQuarantine(all, "RequestSuspected",
                quarantine::RequestSuspected{{1}, {{2}}, milliseconds(500)});
  addQuarantine(all, "RequestServed", quarantine::RequestServed{{1}});
  addQuarantine(all, "QuarantineEntry",
                quarantine::QuarantineEntry{{1}, 3, milliseconds(9), false});
  const base::RequestFeature part{4, base::FeatureKind::kPromptPart};
  addQuarantine(all, "CrashReport with a part",
                quarantine::CrashReport{{1}, {{2}, part}, {part}, milliseconds(8)});
  addQuarantine(
      all, "RequestSuspected of a part",
      quarantine::RequestSuspected{part, {{2}}, milliseconds(500), {milliseconds(70)}, {{2}}});
  addQuarantine(all, "RequestServed with a part", quarantine::RequestServed{part});
  quarantine::RequestSuspected suspected{part, {{2}}, milliseconds(500), {milliseconds(70)}, {{2}}};
  suspected.furtherParts = {part};
  addQuarantine(all, "RequestSuspected of several parts", suspected);
  addQuarantine(all, "RequestServed with several parts", quarantine::RequestServed{part, {part}});
  addQuarantine(all, "QuarantineEntry of a part",
                quarantine::QuarantineEntry{part, 3, milliseconds(9), true});
  addMembership(all, "Ping", membership::Ping{1, {2}, {}});
  addMembership(all, "Ack", membership::Ack{1, {}});
  addMembership(all, "PingRequest", membership::PingRequest{1, {2}});
  addMembership(all, "Gossip", membership::Gossip{});
  addMembership(all, "SyncRequest", membership::SyncRequest{});
  addMembership(all, "SyncSummary", membership::SyncSummary{});
  addMembership(all, "SyncItems", membership::SyncItems{});
  const auto coordinationSample = [&all](const std::string& name, const std::string& payload) {
    all.push_back(
        sample(name, payload, coordination::decodeCoordinationMessage, encodeCoordination));
  };
  coordination::LeaseAnnouncement announcement;
  announcement.revision = 5;
  announcement.tenureRevision = 6;
  announcement.row.address = "127.0.0.1";
  announcement.row.settled = true;
  coordinationSample("LeaseReleased", coordination::encodeCoordinationMessage(
                                          coordination::CoordinationMessageType::kLeaseReleased));
  coordinationSample("LeaseWritten", coordination::encodeLeaseWritten(announcement));
  coordinationSample("ReplicaChange", coordination::encodeReplicaChange({"key", 3, "value"}));
  return all;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(MessageVersionsTest)

BOOST_AUTO_TEST_CASE(UnknownTrailingFieldsAreIgnored) {
  for (const auto& each : samples()) {
    const auto extended = withFields(each.payload, fieldsOf(each.payload), true);
    const auto read = each.reencode(extended);
    BOOST_TEST(read.has_value(), each.name);
    if (read) BOOST_TEST((*read == each.payload), each.name);
  }
}

BOOST_AUTO_TEST_CASE(MessagesWithMissingFieldsAreNotTakenAsComplete) {
  for (const auto& each : samples()) {
    for (std::size_t kept = 0; kept < fieldsOf(each.payload); ++kept) {
      const auto read = each.reencode(withFields(each.payload, kept, false));
      if (read) BOOST_TEST((*read != each.payload), each.name << " with " << kept << " fields");
    }
  }
}

BOOST_AUTO_TEST_CASE(MissingAgeIsNeverTakenAsZero) {
  // Fields of a feed reply: ..., rows, revision, held, age, the service's clock, ages of the
  // changes, era.
  constexpr std::size_t kFieldsWithoutChangeAges = 8;
  const auto payload = config::encodeFeedMessage(feedReply());
  BOOST_REQUIRE(fieldsOf(payload) == kFieldsWithoutChangeAges + 2);
  for (std::size_t kept = 0; kept < kFieldsWithoutChangeAges; ++kept)
    BOOST_TEST(!config::decodeFeedMessage(withFields(payload, kept, false)).has_value());
  const auto read = config::decodeFeedMessage(withFields(payload, kFieldsWithoutChangeAges, false));
  BOOST_REQUIRE(read.has_value());
  const auto& reply = std::get<config::FeedAnswer>(*read);
  BOOST_TEST((reply.age == milliseconds(40)));
  BOOST_TEST(reply.changedAgo.empty());
}

// An earlier build sends no era and interprets the revision of a later one as a plain number of the
// service. Its messages must not be taken as messages of the first era.
BOOST_AUTO_TEST_CASE(MissingEraIsNotTheFirstEra) {
  const auto payload = config::encodeFeedMessage(
      config::FeedQuestion{7, "op", 11, milliseconds(700), false, base::StoreEra{0}});
  const auto decoded = config::decodeFeedMessage(payload);
  BOOST_TEST((std::get<config::FeedQuestion>(*decoded).era == base::StoreEra{0}));
  const auto earlier = config::decodeFeedMessage(withFields(payload, fieldsOf(payload) - 1, false));
  BOOST_REQUIRE(earlier.has_value());
  BOOST_TEST(!std::get<config::FeedQuestion>(*earlier).era.has_value());
}

BOOST_AUTO_TEST_CASE(FramesWithTrailingFieldsAreAccepted) {
  const auto bytes = encodePeerFrame({{1}, 2, {3, 4}}, base::Channel::kTableFeed, "payload");
  base::Reason reason;
  const auto extended = withFields(bytes, fieldsOf(bytes), true);
  const auto frame = decodePeerFrame(extended, reason);
  BOOST_REQUIRE(frame.has_value());
  BOOST_TEST(frame->payload == "payload");
  BOOST_TEST(!decodePeerFrame(withFields(bytes, fieldsOf(bytes) - 1, false), reason).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
