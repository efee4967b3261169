/// \file
/// What a request can have in common with other requests, so that what happens under runs of one of
/// them says something about the others.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"

namespace covewing::base {

enum class FeatureKind : std::uint8_t {
  /// The fingerprint of the whole request.
  kRequest,
  /// A shared part of the prompt, together with the service that runs it.
  kPromptPart,
};

struct RequestFeature {
  std::uint64_t value = 0;
  FeatureKind kind = FeatureKind::kRequest;
  auto operator<=>(const RequestFeature&) const = default;  // NOLINT(modernize-use-nullptr)
};

using RequestFeatures = std::vector<RequestFeature>;

inline RequestFeature featureOf(RequestFingerprint fingerprint) { return {fingerprint.value}; }

/// As in logs and keys of rows: sixteen hexadecimal digits, after "part-" for a part of a prompt.
std::string toString(RequestFeature feature);
/// All of them, separated by spaces.
std::string toString(const RequestFeatures& features);

/// A request that was interrupted at a replica.
struct InterruptedRequest {
  RequestFeatures features;
  /// The replica had just begun to write its response.
  bool begun = false;
  bool operator==(const InterruptedRequest&) const = default;
};

}  // namespace covewing::base

template <>
struct std::hash<covewing::base::RequestFeature> {
  std::size_t operator()(const covewing::base::RequestFeature& feature) const noexcept {
    // Values are hashes already.
    return static_cast<std::size_t>(feature.value) ^ static_cast<std::size_t>(feature.kind);
  }
};
