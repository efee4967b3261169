#include "base/codec.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "support/address_space.h"

namespace covewing::base {

BOOST_AUTO_TEST_SUITE(CodecTest)

RC_BOOST_PROP(ValuesComeBackAsWritten, (std::uint64_t number, std::int64_t offset, bool flag,
                                        double ratio, const std::string& name)) {
  Writer writer;
  writer.array(5).unsignedInteger(number).signedInteger(offset).boolean(flag).real(ratio).binary(
      name);
  const std::string bytes = writer.take();
  Reader reader(bytes);
  RC_ASSERT(reader.beginArray() == 5U);
  RC_ASSERT(reader.unsignedInteger() == number);
  RC_ASSERT(reader.signedInteger() == offset);
  RC_ASSERT(reader.boolean() == flag);
  RC_ASSERT(reader.real() == ratio);
  RC_ASSERT(reader.binary() == name);
  RC_ASSERT(reader.ok());
}

RC_BOOST_PROP(ArbitraryBytesNeverThrow, (const std::string& bytes)) {
  Reader reader(bytes);
  reader.beginArray();
  reader.unsignedInteger();
  reader.text();
  reader.endArray();
}

BOOST_AUTO_TEST_CASE(WrongTypeMakesTheReaderFailed) {
  Writer writer;
  writer.array(1).text("lease");
  const std::string bytes = writer.take();
  Reader reader(bytes);
  reader.beginArray();
  BOOST_TEST(reader.unsignedInteger() == 0U);
  BOOST_TEST(!reader.ok());
}

BOOST_AUTO_TEST_CASE(ElementsNotReadAreSkippedAtTheEndOfAnArray) {
  Writer writer;
  writer.array(2);
  writer.array(2).unsignedInteger(1).unsignedInteger(2);
  writer.unsignedInteger(3);
  const std::string bytes = writer.take();
  Reader reader(bytes);
  reader.beginArray();
  reader.beginArray();
  reader.endArray();
  BOOST_TEST(reader.unsignedInteger() == 3U);
  BOOST_TEST(reader.ok());
}

BOOST_AUTO_TEST_CASE(TrailingBytesAreRefused) {
  Writer writer;
  writer.unsignedInteger(1);
  BOOST_TEST(!Reader(writer.take() + "x").ok());
}

// Guards against memory that is reserved for elements that are only announced: nested arrays in a
// datagram of a few bytes would take hundreds of megabytes of address space.
BOOST_AUTO_TEST_CASE(NothingIsReservedForElementsThatAreOnlyAnnounced) {
  constexpr std::size_t kMostKilobytes = 16U << 10U;
  const std::string announcement("\xdd\x00\x0f\xff\xff", 5);
  std::string bytes;
  for (int depth = 0; depth < 15; ++depth) bytes += announcement;
  const auto before = test_support::peakAddressSpaceKilobytes();
  BOOST_TEST(!Reader(bytes).ok());
  BOOST_TEST(test_support::peakAddressSpaceKilobytes() - before < kMostKilobytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::base
