/// \file
/// State of a TCP connection as the operating system sees it now, which may be ahead of what the
/// event loop has read from the socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>

#include "base/time.h"

namespace covewing::live {

/// Whether the peer has closed its side of the connection or the connection has failed, even if
/// received bytes are still unread.
bool peerHasClosed(const boost::asio::ip::tcp::socket& socket);

/// Number of received bytes that were not read; zero if the operating system does not report it.
std::size_t unreadBytes(const boost::asio::ip::tcp::socket& socket);

/// Whether a read would not block: bytes, the end of input or an error wait to be read.
bool readyToRead(const boost::asio::ip::tcp::socket& socket);

/// Whether a write would not block. A connection that is being established is ready once that has
/// succeeded or failed.
bool readyToWrite(const boost::asio::ip::tcp::socket& socket);

/// Number of sent bytes that the peer has not acknowledged; empty if the operating system does not
/// report it.
std::optional<std::size_t> unacknowledgedBytes(const boost::asio::ip::tcp::socket& socket);

/// Time since data was last received from the peer, with a resolution of a few milliseconds; empty
/// if the operating system does not report it.
std::optional<base::Duration> timeSinceDataReceived(const boost::asio::ip::tcp::socket& socket);

}  // namespace covewing::live
