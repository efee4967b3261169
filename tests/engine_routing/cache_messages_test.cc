#include "engine_routing/cache_messages.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace covewing::engine_routing {

namespace {

LookupRequest makeRequest(std::size_t chainLength, std::size_t engines) {
  prefix::BlockChain chain;
  for (std::size_t index = 0; index < chainLength; ++index) {
    chain.push_back(base::BlockHash{base::mixHash(index, 5)});
  }
  LookupRequest request;
  request.lookupId = 5000;
  request.priority = base::PriorityClass::kUrgent;
  request.checkpoints = prefix::checkpointsOf(chain);
  for (std::size_t index = 0; index < engines; ++index) {
    request.engines.push_back(shortIdOf(base::engineIdOf("rules-" + std::to_string(index))));
  }
  return request;
}

LookupReply makeReply(const LookupRequest& request) {
  LookupReply reply;
  reply.lookupId = request.lookupId;
  reply.recentlyRequestedBlocks = 640;
  reply.exportedBlocks = 320;
  for (const auto engine : request.engines)
    reply.entries.push_back({engine, true, true, 512, 12'000, 33, 2});
  return reply;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CacheMessagesTest)

RC_BOOST_PROP(RequestRoundTripPreservesAllFields,
              (std::uint16_t chainLength, std::uint8_t engines)) {
  const auto request = makeRequest(chainLength, engines % 16);
  const auto message = decodeCacheMessage(encode(request));
  RC_ASSERT(message.has_value());
  const auto* decoded = std::get_if<LookupRequest>(&*message);
  RC_ASSERT(decoded != nullptr);
  RC_ASSERT(decoded->lookupId == request.lookupId);
  RC_ASSERT(decoded->priority == request.priority);
  RC_ASSERT(decoded->engines == request.engines);
  RC_ASSERT(decoded->checkpoints.spacing == request.checkpoints.spacing);
  RC_ASSERT(decoded->checkpoints.chainLength == request.checkpoints.chainLength);
  RC_ASSERT(decoded->checkpoints.fingerprints == request.checkpoints.fingerprints);
}

BOOST_AUTO_TEST_CASE(ReplyRoundTripPreservesAllFields) {
  const auto message = decodeCacheMessage(encode(makeReply(makeRequest(100, 3))));
  BOOST_REQUIRE(message.has_value());
  const auto* reply = std::get_if<LookupReply>(&*message);
  BOOST_REQUIRE(reply != nullptr);
  BOOST_REQUIRE(reply->entries.size() == 3U);
  BOOST_TEST(reply->recentlyRequestedBlocks == 640U);
  BOOST_TEST(reply->exportedBlocks == 320U);
  BOOST_TEST(reply->entries[2].known);
  BOOST_TEST(reply->entries[2].doubtful);
  BOOST_TEST(reply->entries[2].matchedBlocks == 512U);
  BOOST_TEST(reply->entries[2].tokensAhead == 12'000U);
  BOOST_TEST(reply->entries[2].requests == 33U);
  BOOST_TEST(reply->entries[2].incarnation == 2U);
}

BOOST_AUTO_TEST_CASE(NoticeRoundTripPreservesAllFields) {
  const DispatchNotice notice{9, 77, base::PriorityClass::kBackground, 4096};
  const auto message = decodeCacheMessage(encode(notice));
  BOOST_REQUIRE(message.has_value());
  const auto* decoded = std::get_if<DispatchNotice>(&*message);
  BOOST_REQUIRE(decoded != nullptr);
  BOOST_TEST(decoded->lookupId == 9U);
  BOOST_TEST(decoded->engine == 77U);
  BOOST_TEST((decoded->priority == base::PriorityClass::kBackground));
  BOOST_TEST(decoded->uncachedTokens == 4096U);
}

BOOST_AUTO_TEST_CASE(MessagesForLongPromptAndThreeEnginesStayWithinByteBudget) {
  const auto request = makeRequest(1000, 3);
  BOOST_TEST(encode(request).size() <= 130U);
  BOOST_TEST(encode(makeReply(request)).size() <= 60U);
  BOOST_TEST(encode(DispatchNotice{50'000, 0xffffffff, {}, 70'000}).size() <= 20U);
}

RC_BOOST_PROP(ArbitraryBytesAreRejectedOrDecoded, (const std::string& bytes)) {
  decodeCacheMessage(bytes);
}

BOOST_AUTO_TEST_CASE(RequestWithWrongCheckpointCountIsRejected) {
  auto request = makeRequest(100, 1);
  request.checkpoints.fingerprints.pop_back();
  BOOST_TEST(!decodeCacheMessage(encode(request)).has_value());
  request.checkpoints.spacing = 0;
  BOOST_TEST(!decodeCacheMessage(encode(request)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::engine_routing
