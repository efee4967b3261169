#include "live/connect_probe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <utility>

#include "live/boot_clock.h"
#include "live/late_timers.h"

namespace covewing::live {

namespace {

namespace asio = boost::asio;
using clients::Reachability;

/// One connection attempt; it keeps itself alive until it succeeds, fails or times out.
struct Attempt : std::enable_shared_from_this<Attempt> {
  Attempt(asio::io_context& context, std::function<void(Reachability)> onFinished)
      : socket(context), timer(context), callback(std::move(onFinished)) {}

  void begin(asio::io_context& context, const base::Endpoint& address,
             std::optional<std::uint32_t> source, base::Duration timeout) {
    if (source) {
      boost::system::error_code error;
      socket.open(asio::ip::tcp::v4(), error);
      // If this fails, the connection is made from another address or fails as well.
      socket.bind({asio::ip::address_v4(*source), 0}, error);
    }
    timer.expires_after(timeout);
    timer.async_wait([self = shared_from_this(), &context](boost::system::error_code error) {
      if (error) return;
      runExpired(context, self->timer.expiry(), [self] { self->finish(Reachability::kSilent); });
    });
    socket.async_connect(
        {asio::ip::address_v4(address.address), address.port},
        [self = shared_from_this()](boost::system::error_code error) { self->onConnected(error); });
  }

  void onConnected(boost::system::error_code error) {
    if (!error) {
      finish(Reachability::kAccepts);
    } else if (error == asio::error::connection_refused) {
      finish(Reachability::kRefuses);
    } else {
      finish(Reachability::kSilent);
    }
  }

  void finish(Reachability reachability) {
    const auto onFinished = std::exchange(callback, nullptr);
    if (!onFinished) return;
    timer.cancel();
    boost::system::error_code ignored;  // Errors of the close do not matter: it was not used.
    socket.close(ignored);
    onFinished(reachability);
  }

  asio::ip::tcp::socket socket;
  BootTimer timer;
  std::function<void(Reachability)> callback;
};

}  // namespace

void ConnectProbe::connect(const base::Endpoint& address, base::Duration timeout,
                           std::function<void(Reachability)> callback) {
  auto onFinished = [callback = std::move(callback),
                     alive = std::weak_ptr(lifetime_)](Reachability reachability) {
    if (!alive.expired()) callback(reachability);
  };
  std::make_shared<Attempt>(context_, std::move(onFinished))
      ->begin(context_, address, sourceAddress_, timeout);
}

}  // namespace covewing::live
