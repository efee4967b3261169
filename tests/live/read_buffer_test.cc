#include "live/read_buffer.h"

#include <boost/test/unit_test.hpp>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>

namespace covewing::live {

namespace {

std::string textOf(const ReadBuffer& buffer) {
  const auto data = buffer.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

void receive(ReadBuffer& buffer, boost::asio::mutable_buffer target, std::string_view bytes) {
  std::memcpy(target.data(), bytes.data(), bytes.size());
  buffer.endRead(bytes.size());
}

constexpr std::size_t kReadBytes = 16;

}  // namespace

BOOST_AUTO_TEST_SUITE(ReadBufferTest)

// Guards against memory that is given back, moved or used for other bytes while the operating
// system may still write into it.
BOOST_AUTO_TEST_CASE(MemoryStaysWhereItIsWhileAReadIsOutstanding) {
  ReadBuffer buffer;
  receive(buffer, buffer.beginRead(kReadBytes), "first,second");
  const auto target = buffer.beginRead(kReadBytes);
  buffer.consume(std::string_view("first,").size());
  BOOST_TEST(textOf(buffer) == "second");
  buffer.consume(buffer.size());
  buffer.releaseUnused();
  BOOST_TEST(buffer.size() == 0U);
  receive(buffer, target, "third");
  BOOST_TEST(textOf(buffer) == "third");
}

BOOST_AUTO_TEST_CASE(SecondReadIsRefusedWhileOneIsOutstanding) {
  ReadBuffer buffer;
  buffer.beginRead(kReadBytes);
  BOOST_TEST(buffer.reading());
  BOOST_CHECK_THROW(buffer.beginRead(kReadBytes), std::logic_error);
}

BOOST_AUTO_TEST_CASE(BytesFollowEachOtherAcrossReads) {
  ReadBuffer buffer;
  std::string sent;
  std::string received;
  for (int round = 0; round < 100; ++round) {
    const std::string text = "part " + std::to_string(round) + ";";
    sent += text;
    receive(buffer, buffer.beginRead(kReadBytes), text);
    const auto taken = std::min<std::size_t>(buffer.size(), static_cast<std::size_t>(round % 11));
    received += textOf(buffer).substr(0, taken);
    buffer.consume(taken);
  }
  received += textOf(buffer);
  BOOST_TEST(received == sent);
}

// Guards against idle connections that keep memory.
BOOST_AUTO_TEST_CASE(EmptyBufferGivesItsMemoryBack) {
  ReadBuffer buffer;
  receive(buffer, buffer.beginRead(kReadBytes), "x");
  buffer.releaseUnused();
  BOOST_TEST(textOf(buffer) == "x");
  buffer.consume(1);
  buffer.releaseUnused();
  BOOST_TEST(buffer.data().data() == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
