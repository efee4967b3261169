/// \file
/// Messages of the request channel: a node asks a collector to make a claim for it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/ids.h"
#include "base/time.h"
#include "request/claim.h"

namespace covewing::request {

struct ClaimRequest {
  /// Drawn at random by the asking node, so that it is unique over all of its runs.
  std::uint64_t number = 0;
  std::string key;
  std::string value;
  /// The asking node gives up after this long.
  base::Duration limit{};
};

struct ClaimReply {
  std::uint64_t number = 0;
  ClaimStatus status = ClaimStatus::kUnavailable;
  /// Revision of the row, with kOwned.
  base::Revision revision = 0;
  /// Why not, for people.
  std::string detail;
};

using ClaimMessage = std::variant<ClaimRequest, ClaimReply>;

std::string encodeClaimMessage(const ClaimMessage& message);
/// Empty when the payload is malformed.
std::optional<ClaimMessage> decodeClaimMessage(std::string_view payload);

}  // namespace covewing::request
