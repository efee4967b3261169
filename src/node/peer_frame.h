/// \file
/// The frame around each message between nodes. The live transport and the simulator encode and
/// decode it with these functions.
///
/// One MessagePack array: version, channel, sender's id, incarnation, address, port, payload.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/peer_transport.h"
#include "base/result_code.h"

namespace covewing::node {

/// Bytes that a frame adds to its payload at most.
inline constexpr std::size_t kPeerFrameOverhead = 48;

struct PeerFrame {
  base::PeerIdentity sender;
  base::Channel channel = base::Channel::kMembership;
  /// Points into the decoded bytes.
  std::string_view payload;
};

std::string encodePeerFrame(const base::PeerIdentity& sender, base::Channel channel,
                            std::string_view payload);

/// Fields that a later build adds at the end are passed over. Empty, with MessageVersion or
/// MessageMalformed, for anything else that encodePeerFrame of this version does not write. `bytes`
/// must outlive the frame.
std::optional<PeerFrame> decodePeerFrame(std::string_view bytes, base::Reason& reason);

}  // namespace covewing::node
