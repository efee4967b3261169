/// \file
/// A simulated network between the nodes of a test. Messages arrive after one millisecond or are
/// lost.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/peer_transport.h"
#include "base/random.h"
#include "support/virtual_time.h"

namespace covewing::routing::testing {

class DelayedNetwork {
 public:
  using Receiver = std::function<void(const base::PeerIdentity& sender, std::string_view payload)>;

  DelayedNetwork(test_support::VirtualTime& time, std::uint64_t seed) : random(seed), time_(time) {}

  /// Registers the receiver of the messages to this address.
  void attach(std::uint32_t address, Receiver receiver) {
    receivers_[address] = std::move(receiver);
  }
  /// Unregisters the receiver. Messages to the address that are in flight or sent later are lost.
  void detach(std::uint32_t address) { receivers_.erase(address); }

  void send(const base::PeerIdentity& sender, const base::Endpoint& destination,
            std::string payload) {
    ++sent;
    if (random.unit() < loss) return;
    if (cut.contains(sender.endpoint.address) || cut.contains(destination.address)) return;
    if (filter && filter(destination, payload)) return;
    time_.schedule(std::chrono::milliseconds(1),
                   [this, sender, destination, payload = std::move(payload)] {
                     const auto receiver = receivers_.find(destination.address);
                     if (receiver != receivers_.end()) receiver->second(sender, payload);
                   });
  }

  /// Fraction of the messages that are lost.
  double loss = 0;
  /// Addresses that can neither send nor receive.
  std::set<std::uint32_t> cut;
  /// Returns true for a message that is to be lost.
  std::function<bool(const base::Endpoint& destination, std::string_view payload)> filter;
  std::size_t sent = 0;
  base::SeededRandom random;

 private:
  test_support::VirtualTime& time_;
  std::map<std::uint32_t, Receiver> receivers_;
};

/// Connection of one node to the network.
class DelayedLink final : public base::PeerTransport {
 public:
  DelayedLink(DelayedNetwork& network, base::PeerIdentity self) : network_(network), self_(self) {}
  void send(const base::Endpoint& destination, base::Channel /*channel*/,
            std::string payload) override {
    network_.send(self_, destination, std::move(payload));
  }

 private:
  DelayedNetwork& network_;
  base::PeerIdentity self_;
};

}  // namespace covewing::routing::testing
