/// \file
/// A raw TCP client that shares the io_context of the server under test. It sends exact bytes and
/// keeps all received bytes as text.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <string_view>

#include "base/endpoint.h"

namespace covewing::live {

/// Runs handlers until `done` returns true. A test that waits forever is ended by its time limit.
template <class Condition>
void runUntil(boost::asio::io_context& context, Condition done) {
  context.restart();
  while (!done()) {
    if (context.run_one() == 0) context.restart();
  }
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
                                return;
                              }
                              received_.append(buffer_.data(), bytes);
                              read();
                            });
  }

  void close() { socket_.close(); }
  const std::string& received() const { return received_; }
  bool closed() const { return closed_; }
  bool has(std::string_view text) const { return received_.find(text) != std::string::npos; }
  void waitFor(std::string_view text) {
    runUntil(context_, [this, text] { return has(text) || closed_; });
  }
  void waitClosed() {
    runUntil(context_, [this] { return closed_; });
  }

 private:
  boost::asio::io_context& context_;
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 16384> buffer_{};
  std::string received_;
  bool closed_ = false;
};

inline constexpr std::uint32_t kLoopback = 0x7F000001;

}  // namespace covewing::live
