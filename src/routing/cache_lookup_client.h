/// \file
/// Asks the homes of engines on behalf of the routing policy: one message a home, the first home
/// unless it has just failed to answer, so that all announcements for an engine meet there (a
/// second home has the same events but not the announcements, so even it asks the first). Bytes are
/// bounded by a budget; beyond it, and for homes that do not answer in time, engines are answered
/// as not known.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>

#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/member_directory.h"
#include "routing/cache_index_home.h"
#include "routing/cache_lookup.h"
#include "routing/engine_directory.h"

namespace covewing::routing {

struct CacheLookupOptions {
  /// Answer everything from this node's own index and announce to no other node: the way of
  /// policies that keep the whole index on each node.
  bool localIndexOnly = false;
  /// Longest wait for the homes' answers.
  base::Duration timeout = std::chrono::milliseconds(15);
  /// A home that did not answer is passed over for this long.
  base::Duration unresponsiveHomeBackoff = std::chrono::seconds(1);
  /// Bytes of lookups and announcements that this node sends a second on average, and at once.
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

/// Counts for metrics and measurements; bytes without the transport's frame.
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

  /// Every message of the cache-index channel; requests and announcements go to the home part.
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

  const CacheLookupCounters& counters() const { return counters_; }

 private:
  struct Pending {
    LookupResult result;
    std::vector<base::NodeId> awaitedHomes;
    base::TimerId timer = 0;
    LookupCallback callback;
  };
  /// Engines grouped by the home that is asked about them.
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

}  // namespace covewing::routing
