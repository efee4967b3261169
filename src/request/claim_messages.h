/// \file
/// Messages of the request channel, by which a node requests that a collector writes a claim on its
/// behalf.
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
  /// Random number drawn by the requesting node, so that it is unique across restarts of that node.
  std::uint64_t number = 0;
  std::string key;
  std::string value;
  /// Time after which the requesting node stops waiting for the reply.
  base::Duration limit{};
};

struct ClaimReply {
  std::uint64_t number = 0;
  ClaimStatus status = ClaimStatus::kUnavailable;
  /// Revision of the row, if `status` is kOwned.
  base::Revision revision = 0;
  /// Human-readable reason if the claim was not granted.
  std::string detail;
};

using ClaimMessage = std::variant<ClaimRequest, ClaimReply>;

std::string encodeClaimMessage(const ClaimMessage& message);
/// Returns an empty value if the payload is malformed.
std::optional<ClaimMessage> decodeClaimMessage(std::string_view payload);

}  // namespace covewing::request
