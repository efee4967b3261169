/// \file
/// A raw TCP client that shares the io_context of the server under test. It sends exact bytes and
/// keeps all received bytes as text.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "base/endpoint.h"

namespace covewing::live {

/// Maximum time that a test waits for one condition. Well below the time limit of a test program,
/// so that a test that waits in vain says for what.
inline constexpr std::chrono::seconds kMaximumTestWait{90};

/// Runs handlers until `done` returns true. Fails the test if that takes too long; `describe`
/// returns what the test waits for and the state that it has reached.
template <class Condition, class Description>
void runUntil(boost::asio::io_context& context, Condition done, Description describe) {
  const auto deadline = std::chrono::steady_clock::now() + kMaximumTestWait;
  context.restart();
  while (!done()) {
    if (std::chrono::steady_clock::now() > deadline)
      BOOST_FAIL("waited " << kMaximumTestWait.count() << " s for " << describe());
    if (context.run_one_for(std::chrono::seconds(1)) == 0) context.restart();
  }
}
template <class Condition>
void runUntil(boost::asio::io_context& context, Condition done) {
  runUntil(context, std::move(done), [] { return std::string{"a condition"}; });
}

class TestClient {
 public:
  TestClient(boost::asio::io_context& context, const base::Endpoint& server, bool reading = true)
      : context_(context), socket_(context) {
    socket_.connect({boost::asio::ip::address_v4(server.address), server.port});
    if (reading) read();
  }

  void send(std::string_view bytes) {
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(bytes), error);
  }

  void read() {
    socket_.async_read_some(boost::asio::buffer(buffer_),
                            [this](boost::system::error_code error, std::size_t bytes) {
                              if (error == boost::asio::error::operation_aborted) return;
                              if (error) {
                                closed_ = true;
                                closedInOrder_ = error == boost::asio::error::eof;
                                return;
                              }
                              received_.append(buffer_.data(), bytes);
                              read();
                            });
  }

  void close() { socket_.close(); }
  const std::string& received() const { return received_; }
  bool closed() const { return closed_; }
  /// Whether the server ended the connection in order, rather than by a reset.
  bool closedInOrder() const { return closedInOrder_; }
  bool has(std::string_view text) const { return received_.find(text) != std::string::npos; }
  void waitFor(std::string_view text) {
    runUntil(
        context_, [this, text] { return has(text) || closed_; },
        [this, text] { return std::string{text} + "; received: " + received_; });
  }
  void waitClosed() {
    runUntil(
        context_, [this] { return closed_; },
        [this] { return "the end of the connection; received: " + received_; });
  }

 private:
  boost::asio::io_context& context_;
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 16384> buffer_{};
  std::string received_;
  bool closed_ = false;
  bool closedInOrder_ = false;
};

inline constexpr std::uint32_t kLoopback = 0x7F000001;

}  // namespace covewing::live
