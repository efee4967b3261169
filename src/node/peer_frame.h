/// \file
/// Frame around each message between nodes. The live transport and the simulator both use these
/// functions to encode and decode it.
///
/// A frame is one MessagePack array: version, channel, sender's id, incarnation, address, port,
/// payload.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/peer_transport.h"
#include "base/result_code.h"

namespace covewing::node {

/// Maximum number of bytes that a frame adds to its payload.
inline constexpr std::size_t kPeerFrameOverhead = 48;

struct PeerFrame {
  base::PeerIdentity sender;
  base::Channel channel = base::Channel::kMembership;
  /// Points into the decoded bytes.
  std::string_view payload;
};

std::string encodePeerFrame(const base::PeerIdentity& sender, base::Channel channel,
                            std::string_view payload);

/// Ignores fields that later builds add at the end. Returns empty, with `reason` set to
/// MessageVersion or MessageMalformed, for anything else that encodePeerFrame of this version does
/// not write. `bytes` must outlive the frame, whose payload refers to them.
std::optional<PeerFrame> decodePeerFrame(std::string_view bytes, base::Reason& reason);

}  // namespace covewing::node
