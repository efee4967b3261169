#include "prefix/block_table.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>

#include "base/random.h"

namespace covewing::prefix {

BOOST_AUTO_TEST_SUITE(BlockTableTest)

RC_BOOST_PROP(BehavesLikeAMap,
              (const std::vector<std::tuple<bool, std::uint8_t, std::uint16_t>>& operations)) {
  BlockTable table;
  std::map<BlockFingerprint, BlockTable::Mark> model;
  // Few distinct fingerprints, crowded at one end, so that probing and back-shifting wrap around.
  const auto fingerprint = [](std::uint8_t index) { return 0xffffffffU - (index % 64U); };
  for (const auto& [insert, index, mark] : operations) {
    const auto key = fingerprint(index);
    if (insert) {
      table.insert(key, mark);
      model[key] = mark;
    } else {
      RC_ASSERT(table.erase(key) == (model.erase(key) == 1));
    }
    RC_ASSERT(table.size() == model.size());
  }
  for (unsigned index = 0; index < 64; ++index) {
    const auto key = fingerprint(static_cast<std::uint8_t>(index));
    const auto expected = model.find(key);
    const auto found = table.find(key);
    RC_ASSERT(found.has_value() == (expected != model.end()));
    if (found) RC_ASSERT(*found == expected->second);
  }
}

BOOST_AUTO_TEST_CASE(AnEntryTakesAtMostSixteenBytes) {
  base::SeededRandom random(3);
  BlockTable table;
  for (int count = 0; count < 100'000; ++count) {
    table.insert(fingerprintOf(base::BlockHash{random.next()}), 1);
    if (count > 100) BOOST_REQUIRE(table.memoryBytes() <= 16 * table.size());
  }
}

BOOST_AUTO_TEST_CASE(EraseIfKeepsTheOthers) {
  BlockTable table;
  for (BlockFingerprint fingerprint = 1; fingerprint <= 1000; ++fingerprint) {
    table.insert(fingerprint * 4'000'000U, static_cast<BlockTable::Mark>(fingerprint % 3));
  }
  table.eraseIf([](BlockTable::Mark mark) { return mark == 1; });
  BOOST_TEST(table.size() == 666U);
  BOOST_TEST(!table.find(4'000'000U).has_value());
  BOOST_TEST(table.find(8'000'000U).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::prefix
