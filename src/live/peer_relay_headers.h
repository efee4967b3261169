/// \file
/// Headers of the messages between a node and the relay listener of another node. A message is the
/// HTTP request as the replica is to receive it, with the headers below added; the response is that
/// of the replica, unless it has the header kFailure.
#pragma once

#include <string_view>

namespace covewing::live::relay_headers {

/// Instance of the replica that the request is for.
inline constexpr std::string_view kReplica = "Covewing-Relay-Replica";
/// Name of the request's tenant; absent on routes without a key.
inline constexpr std::string_view kTenant = "Covewing-Relay-Tenant";
/// If present, nothing is passed on: the response has status 200 if the replica accepts a
/// connection.
inline constexpr std::string_view kProbe = "Covewing-Relay-Probe";
/// In a response: the request got no response of the replica, for one of the reasons below.
inline constexpr std::string_view kFailure = "Covewing-Relay-Failure";

/// In a response with the failure kLost: the replica ended the connection of the request.
inline constexpr std::string_view kRunEnded = "Covewing-Relay-Run-Ended";

/// In a response: by what the end of the replica's response is known, if that is the end of its
/// connection. The message between the nodes comes in chunks then.
inline constexpr std::string_view kFraming = "Covewing-Relay-Framing";
inline constexpr std::string_view kConnectionEnd = "connection";

/// The node does not pass the request on; nothing was sent.
inline constexpr std::string_view kRefused = "refused";
/// The node does not reach the replica; nothing was sent.
inline constexpr std::string_view kUnreachable = "unreachable";
/// The connection to the replica broke before its response began; the request may have run.
inline constexpr std::string_view kLost = "lost";

}  // namespace covewing::live::relay_headers
