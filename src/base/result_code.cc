#include "base/result_code.h"

#include <algorithm>

namespace covewing::base {

namespace {
constexpr ResultCodeEntry kTable[] = {
#define COVEWING_RESULT(name, number, httpStatus, meaning) \
  {ResultCode::k##name, #name, httpStatus, meaning},
#include "base/result_codes.def"
#undef COVEWING_RESULT
};
}  // namespace

std::span<const ResultCodeEntry> resultCodeTable() { return kTable; }

const ResultCodeEntry& describe(ResultCode code) {
  const auto* entry = std::ranges::find_if(
      kTable, [code](const ResultCodeEntry& line) { return line.code == code; });
  return entry == std::end(kTable) ? kTable[0] : *entry;
}

}  // namespace covewing::base
