/// \file
/// Queries the homes of engines on behalf of the routing policy, with one message to each home. The
/// first home of an engine is queried unless it has recently failed to reply, so that all
/// announcements for an engine reach the same node. A second home receives the same cache events
/// but not the announcements; therefore even a second home queries the first one. The bytes sent
/// are limited by a budget. Engines are reported as not known if the budget is exhausted or their
/// home does not reply in time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>

#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "engine_routing/cache_index_home.h"
#include "engine_routing/cache_lookup.h"
#include "engine_routing/engine_directory.h"
#include "membership/member_directory.h"

namespace covewing::engine_routing {

struct CacheLookupOptions {
  /// Serve all lookups from this node's own index and announce nothing to other nodes. Used for
  /// policies that keep the complete index on each node.
  bool localIndexOnly = false;
  /// Maximum wait for the replies of the homes.
  base::Duration timeout = std::chrono::milliseconds(15);
  /// A home that did not reply is not queried for this long.
  base::Duration unresponsiveHomeBackOff = std::chrono::seconds(1);
  /// Byte budget for the lookups and announcements that this node sends: average rate per second,
  /// and maximum burst.
  double bytesPerSecond = 14'000;
  double burstBytes = 28'000;
};

struct CacheLookupEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::PeerTransport& peers;
  const membership::MemberDirectory& members;
  const EngineDirectory& directory;
  CacheIndexHome& home;
};

/// Counters for metrics and measurements. Byte counts exclude the transport's framing.
struct CacheLookupCounters {
  std::uint64_t lookups = 0;
  std::uint64_t messagesSent = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t timeouts = 0;
  std::uint64_t overBudget = 0;
  std::uint64_t malformed = 0;
};

class CacheLookupClient final : public CacheLookup, public base::PeerHandler {
 public:
  CacheLookupClient(CacheLookupOptions options, CacheLookupEnvironment environment);
  ~CacheLookupClient() override;

  void lookup(base::PriorityClass priority, const std::vector<base::EngineId>& engines,
              const prefix::Checkpoints& checkpoints, LookupCallback callback) override;
  void announce(std::uint64_t lookupId, base::EngineId engine, base::PriorityClass priority,
                std::uint32_t uncachedTokens) override;

  /// Handles every message of the cache-index channel. Requests and announcements are passed on to
  /// the local CacheIndexHome.
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

  const CacheLookupCounters& counters() const { return counters_; }

 private:
  struct Pending {
    LookupResult result;
    std::vector<base::NodeId> awaitedHomes;
    base::TimerId timer = 0;
    LookupCallback callback;
  };
  /// Engines grouped by the home that is to be queried about them.
  using EnginesByHome = std::map<base::NodeId, std::vector<ShortEngineId>>;

  EnginesByHome groupByHome(const std::vector<base::EngineId>& engines) const;
  std::optional<base::NodeId> homeToQuery(base::EngineId engine) const;
  bool isBackingOff(base::NodeId home) const;
  void onReply(base::NodeId home, const LookupReply& reply);
  void merge(LookupResult& result, const LookupReply& reply) const;
  void onTimeout(std::uint64_t lookupId);
  void finish(std::uint64_t lookupId);
  bool consumeBudget(std::size_t bytes);
  void send(const membership::Member& destination, std::string payload);

  CacheLookupOptions options_;
  CacheLookupEnvironment environment_;
  std::uint64_t lastLookupId_ = 0;
  std::map<std::uint64_t, Pending> pending_;
  std::map<base::NodeId, base::TimePoint> backOffUntil_;
  double budget_;
  base::TimePoint budgetAt_;
  CacheLookupCounters counters_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::engine_routing
