/// \file
/// Numbered result codes (docs/CODES.md) and the last reason that accompanies an empty
/// std::optional.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace covewing::base {

/// Stable numbers that callers and operators may rely on; the list is result_codes.def.
enum class ResultCode : std::uint16_t {
#define COVEWING_RESULT(name, number, httpStatus, meaning) k##name = (number),
#include "base/result_codes.def"
#undef COVEWING_RESULT
};

/// One line of the table of result codes.
struct ResultCodeEntry {
  ResultCode code;
  std::string_view name;
  unsigned httpStatus;
  std::string_view meaning;
};

/// All result codes in ascending order of number.
std::span<const ResultCodeEntry> resultCodeTable();
/// The table's line of `code`.
const ResultCodeEntry& describe(ResultCode code);

/// Why an operation gave no value: functions that may fail return std::optional and fill this in.
struct Reason {
  ResultCode code = ResultCode::kOk;
  /// Detail for people: what was wrong, with the offending field or key named.
  std::string detail;
};

}  // namespace covewing::base
