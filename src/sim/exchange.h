/// \file
/// Request and answer over pooled connections, as an HTTP/1.1 client with keep-alive does it.
///
/// An answer belongs to whichever exchange is on the connection when its bytes arrive: the pool
/// knows no more. A connection is therefore reused only after exactly one accepted answer; after a
/// time-out, an unexpected answer or bytes without an exchange it is closed.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "base/time.h"
#include "sim/network.h"
#include "sim/process.h"

namespace covewing::sim {

/// How an exchange ended.
enum class ExchangeStatus : std::uint8_t {
  kAnswered,
  /// No connection: no byte left.
  kNotSent,
  /// Bytes left, and no answer of this request came.
  kNoAnswer,
};

template <class Response>
struct ExchangeResult {
  ExchangeStatus status = ExchangeStatus::kNoAnswer;
  /// Meaningful with kAnswered.
  Response response{};
};

/// Faults of a client that a mutation run switches on to see that checkers notice.
struct ExchangeFaults {
  /// Keeps using a connection whose answer was given up on, and takes any answer on it for the one
  /// to its own request.
  bool reuseAbandoned = false;
};

/// Client side of one process towards servers of one kind.
template <class Response>
class ExchangePool {
 public:
  /// Sends an answer of that many bytes; may be called more than once or never.
  using Answer = std::function<void(Response, std::size_t)>;

  struct Request {
    HostId server = 0;
    std::size_t bytes = 0;
    base::Duration timeout{};
    /// Runs on the server's process when the request arrives.
    std::function<void(Answer)> serve;
    /// Whether an answer is the one to this request; empty accepts all.
    std::function<bool(const Response&)> matches;
  };

  ExchangePool(Network& network, HostId self, TrafficClass traffic, ExchangeFaults faults = {})
      : shared_(std::make_shared<Shared>(Shared{network, self, traffic, faults, {}})) {}

  /// Answers exactly once, through `reply`.
  void call(Request request, Reply<ExchangeResult<Response>> reply) {
    auto exchange = std::make_shared<Exchange>(shared_, std::move(request), reply);
    exchange->start();
  }

 private:
  class Exchange;

  /// A connection and the exchange that is on it.
  struct Channel {
    ConnectionPtr connection;
    std::weak_ptr<Exchange> current;
  };
  using ChannelPtr = std::shared_ptr<Channel>;

  struct Shared {
    Network& network;
    HostId self;
    TrafficClass traffic;
    ExchangeFaults faults;
    std::map<HostId, std::vector<ChannelPtr>> idle;

    ChannelPtr takeIdle(HostId server) {
      auto& channels = idle[server];
      while (!channels.empty()) {
        auto channel = std::move(channels.back());
        channels.pop_back();
        if (channel->connection->open()) return channel;
      }
      return nullptr;
    }
    void giveBack(HostId server, ChannelPtr channel) {
      channel->current.reset();
      if (channel->connection->open()) idle[server].push_back(std::move(channel));
    }
  };

  class Exchange : public std::enable_shared_from_this<Exchange> {
   public:
    Exchange(std::shared_ptr<Shared> shared, Request request, Reply<ExchangeResult<Response>> reply)
        : shared_(std::move(shared)), request_(std::move(request)), reply_(reply) {}

    void start() {
      // The timer keeps the exchange alive, and ends with the process.
      timer_ = process().schedule(request_.timeout,
                                  [self = this->shared_from_this()] { self->onTimeout(); });
      if (auto channel = shared_->takeIdle(request_.server)) {
        send(std::move(channel));
        return;
      }
      shared_->network.connect(
          shared_->self, request_.server, shared_->traffic,
          [weak = this->weak_from_this()](ConnectResult, ConnectionPtr connection) {
            const auto self = weak.lock();
            if (self != nullptr && !self->finished_) {
              self->onConnected(std::move(connection));
            } else if (connection != nullptr) {
              connection->close(Connection::Side::kClient);
            }
          });
    }

   private:
    Process& process() { return shared_->network.process(shared_->self); }

    void onConnected(ConnectionPtr connection) {
      if (connection == nullptr) {
        finish({ExchangeStatus::kNotSent, {}});
        return;
      }
      auto channel = std::make_shared<Channel>(Channel{std::move(connection), {}});
      send(std::move(channel));
    }

    void send(ChannelPtr channel) {
      channel_ = std::move(channel);
      channel_->current = this->weak_from_this();
      const auto weak = this->weak_from_this();
      channel_->connection->onClosed(Connection::Side::kClient, [weak] {
        if (const auto self = weak.lock()) self->finish({ExchangeStatus::kNoAnswer, {}});
      });
      channel_->connection->send(
          Connection::Side::kClient, request_.bytes,
          [serve = request_.serve, channel = channel_] { serve(answerOn(channel)); });
    }

    /// The server's way to answer on a connection.
    static Answer answerOn(const ChannelPtr& channel) {
      return [channel](Response response, std::size_t bytes) {
        channel->connection->send(Connection::Side::kServer, bytes,
                                  [channel, response = std::move(response)] {
                                    const auto current = channel->current.lock();
                                    if (current != nullptr && !current->finished_) {
                                      current->onAnswer(response);
                                    } else {
                                      channel->connection->close(Connection::Side::kClient);
                                    }
                                  });
      };
    }

    void onAnswer(const Response& response) {
      const bool accepted =
          shared_->faults.reuseAbandoned || !request_.matches || request_.matches(response);
      if (!accepted) {
        abandon();
        return;
      }
      auto channel = std::exchange(channel_, nullptr);
      channel->connection->onClosed(Connection::Side::kClient, nullptr);
      shared_->giveBack(request_.server, std::move(channel));
      finish({ExchangeStatus::kAnswered, response});
    }

    void onTimeout() {
      timer_ = 0;
      if (channel_ == nullptr) {
        finish({ExchangeStatus::kNotSent, {}});
      } else {
        abandon();
      }
    }

    /// Gives the answer up; its late bytes must reach nobody.
    void abandon() {
      auto channel = std::exchange(channel_, nullptr);
      channel->connection->onClosed(Connection::Side::kClient, nullptr);
      if (shared_->faults.reuseAbandoned) {
        shared_->giveBack(request_.server, std::move(channel));
      } else {
        channel->connection->close(Connection::Side::kClient);
      }
      finish({ExchangeStatus::kNoAnswer, {}});
    }

    void finish(ExchangeResult<Response> result) {
      if (std::exchange(finished_, true)) return;
      // Cancelling the timer may release the last owner.
      const auto self = this->shared_from_this();
      process().cancel(timer_);
      channel_ = nullptr;
      reply_(std::move(result));
    }

    std::shared_ptr<Shared> shared_;
    Request request_;
    Reply<ExchangeResult<Response>> reply_;
    ChannelPtr channel_;
    base::TimerId timer_ = 0;
    bool finished_ = false;
  };

  std::shared_ptr<Shared> shared_;
};

}  // namespace covewing::sim
