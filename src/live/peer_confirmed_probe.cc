#include "live/peer_confirmed_probe.h"

#include <algorithm>
#include <utility>

#include "live/peer_relay_headers.h"

namespace covewing::live {

namespace {

using clients::Reachability;

/// Added to the time-out of the probe by the other node, for its response to arrive.
constexpr base::Duration kResponseMargin = std::chrono::milliseconds(100);

/// What follows from the probes of both nodes.
Reachability combine(Reachability seenHere, const HttpResult& result) {
  constexpr unsigned kOk = 200;
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) return Reachability::kSilent;
  return response->status == kOk ? Reachability::kAccepts : seenHere;
}

}  // namespace

void PeerConfirmedProbe::connect(const base::Endpoint& address, base::Duration timeout,
                                 std::function<void(Reachability)> callback) {
  environment_.direct.connect(address, timeout,
                              [this, address, timeout, callback = std::move(callback),
                               alive = std::weak_ptr(lifetime_)](Reachability seenHere) mutable {
                                if (alive.expired()) return;
                                if (seenHere == Reachability::kAccepts) {
                                  callback(seenHere);
                                } else {
                                  confirm(address, timeout, seenHere, std::move(callback));
                                }
                              });
}

void PeerConfirmedProbe::confirm(const base::Endpoint& address, base::Duration timeout,
                                 Reachability seenHere,
                                 std::function<void(Reachability)> callback) {
  const auto& all = environment_.replicas.all();
  const auto replica = std::ranges::find_if(
      all, [&](const auto& entry) { return entry.second->facts().endpoint == address; });
  const auto peer =
      replica == all.end()
          ? std::nullopt
          : environment_.relayPeers.choose(replica->second->facts(), {}, environment_.clock.now());
  if (!peer) {
    callback(seenHere);
    return;
  }
  const HttpRequest request{"GET",
                            "/",
                            {{std::string{relay_headers::kReplica}, replica->first},
                             {std::string{relay_headers::kProbe}, "connect"}},
                            {}};
  environment_.peerHttp.fetch(peer->endpoint, request, timeout + kResponseMargin,
                              [seenHere, callback = std::move(callback),
                               alive = std::weak_ptr(lifetime_)](const HttpResult& result) {
                                if (!alive.expired()) callback(combine(seenHere, result));
                              });
}

}  // namespace covewing::live
