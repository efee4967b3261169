/// \file
/// Points in the history of the platform's table service.
///
/// The service stamps each transaction with the next number. When it comes back from a copy that is
/// some seconds old, what was written since is gone and its numbers are given out again; it then
/// names another era, one higher. So a number alone names a point only within one era. A `Revision`
/// holds both, the era in its upper bits: revisions compare by era first, and those of era 0 are
/// the bare numbers that builds without eras write and send.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace covewing::base {

/// Number of one uninterrupted history of the table service; 0 where the service tells none.
using StoreEra = std::uint32_t;

/// Point in the total order of committed table-service transactions; 0 means "none".
using Revision = std::uint64_t;

inline constexpr unsigned kRevisionNumberBits = 48;
inline constexpr std::uint64_t kLargestRevisionNumber =
    (std::uint64_t{1} << kRevisionNumberBits) - 1;
inline constexpr StoreEra kLargestStoreEra = (StoreEra{1} << (64 - kRevisionNumberBits)) - 1;

/// The point with this number, which must be at most kLargestRevisionNumber, in an era of at most
/// kLargestStoreEra.
constexpr Revision revisionAt(StoreEra era, std::uint64_t number) {
  return (Revision{era} << kRevisionNumberBits) | number;
}
constexpr StoreEra eraOf(Revision revision) {
  return static_cast<StoreEra>(revision >> kRevisionNumberBits);
}
/// The number that the service itself gave.
constexpr std::uint64_t numberOf(Revision revision) { return revision & kLargestRevisionNumber; }

/// For logs and people: "NUMBER" in era 0, else "ERA/NUMBER".
std::string revisionText(Revision revision);

/// The era that an answer of the service names: 0 where the text is empty, as it names none;
/// nothing where what it names is no era, so that this never passes for a lower one.
std::optional<StoreEra> parseStoreEra(std::string_view text);

}  // namespace covewing::base
