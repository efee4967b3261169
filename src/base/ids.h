/// \file
/// Strongly typed identifiers shared by every subsystem.
///
/// Numeric identifiers are 64-bit hashes of a stable name, so that each process derives the same
/// identifier from the same name without agreement. The name itself is kept only where people read
/// it.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/revision.h"

namespace covewing::base {

/// A 64-bit identifier that cannot be confused with one of another kind. `Tag` is never
/// instantiated.
template <class Tag>
struct NumericId {
  std::uint64_t value = 0;
  // clang-tidy 14 takes the zero that rewritten comparisons compare with for a null pointer.
  auto operator<=>(const NumericId&) const = default;  // NOLINT(modernize-use-nullptr)
};

struct NodeTag;
struct EngineTag;
struct TenantTag;
struct BlockTag;
struct RequestFingerprintTag;

/// A covewing node (one `covewingd`), derived from its configured name.
using NodeId = NumericId<NodeTag>;
/// A back end: a model engine replica or an application replica, derived from its listed name.
using EngineId = NumericId<EngineTag>;
/// A tenant, derived from the name of its template.
using TenantId = NumericId<TenantTag>;
/// One cached prompt block in its chain, salted (see prefix/block_chain.h).
using BlockHash = NumericId<BlockTag>;

/// What a request asks of a replica: equal for requests with the same path, tenant and body,
/// whatever their identifiers (see request/request_fingerprint.h).
using RequestFingerprint = NumericId<RequestFingerprintTag>;

/// Number of one run of a process: grows with each start, so that state of an earlier run is
/// recognised.
using Incarnation = std::uint64_t;
/// Version of a model's weights; larger is newer.
using WeightsVersion = std::uint64_t;
/// Fencing token of a lease: grows with each change of holder.
using FencingToken = std::uint64_t;

/// Identifier of one caller request, unique over all nodes: node, incarnation and a counter, as
/// text.
struct RequestId {
  std::string value;
  auto operator<=>(const RequestId&) const = default;
};

/// Derives the identifier of a named entity (XXH3, 64 bits, of the name's bytes).
std::uint64_t hashName(std::string_view name);

inline NodeId nodeIdOf(std::string_view name) { return NodeId{hashName(name)}; }
inline EngineId engineIdOf(std::string_view name) { return EngineId{hashName(name)}; }
inline TenantId tenantIdOf(std::string_view name) { return TenantId{hashName(name)}; }

/// Sixteen hexadecimal digits, as in logs and keys of rows.
std::string toString(RequestFingerprint fingerprint);

/// Mixes two 64-bit values into one well-distributed value; used for rendezvous hashing.
std::uint64_t mixHash(std::uint64_t left, std::uint64_t right);

}  // namespace covewing::base

template <class Tag>
struct std::hash<covewing::base::NumericId<Tag>> {
  std::size_t operator()(const covewing::base::NumericId<Tag>& id) const noexcept {
    return id.value;
  }
};

template <>
struct std::hash<covewing::base::RequestId> {
  std::size_t operator()(const covewing::base::RequestId& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};
