#include "live/socket_state.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>

namespace covewing::live {

namespace {

using Socket = boost::asio::ip::tcp::socket;

int descriptorOf(const Socket& socket) {
  // Reading the descriptor changes nothing, but Asio declares the function as non-const.
  return const_cast<Socket&>(socket).native_handle();
}

bool ready(const Socket& socket, short events) {
  if (!socket.is_open()) return false;
  pollfd state{descriptorOf(socket), events, 0};
  return ::poll(&state, 1, 0) > 0;
}

}  // namespace

bool readyToRead(const Socket& socket) { return ready(socket, POLLIN); }

bool readyToWrite(const Socket& socket) { return ready(socket, POLLOUT); }

bool peerHasClosed(const Socket& socket) {
  if (!socket.is_open()) return true;
  const int descriptor = descriptorOf(socket);
  char byte = 0;
  const auto received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received == 0) return true;
  if (received < 0) return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  // Unread bytes hide the end of input from `recv`.
  pollfd state{descriptor, POLLRDHUP, 0};
  return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::size_t unreadBytes(const Socket& socket) {
  int bytes = 0;
  if (!socket.is_open() || ::ioctl(descriptorOf(socket), FIONREAD, &bytes) != 0 || bytes < 0)
    return 0;
  return static_cast<std::size_t>(bytes);
}

std::optional<std::size_t> unacknowledgedBytes(const Socket& socket) {
  int bytes = 0;
  if (!socket.is_open() || ::ioctl(descriptorOf(socket), SIOCOUTQ, &bytes) != 0 || bytes < 0)
    return std::nullopt;
  return static_cast<std::size_t>(bytes);
}

std::optional<base::Duration> timeSinceDataReceived(const Socket& socket) {
  tcp_info info{};
  socklen_t length = sizeof(info);
  if (!socket.is_open() ||
      ::getsockopt(descriptorOf(socket), IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
    return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace covewing::live
