/// \file
/// Keeps PrefixHolders current by watching the cache events of replicas and of stores of kept
/// cache.
///
/// Each of them lets a bounded number of callers watch it. Where there are more nodes than that, a
/// replica or store is watched by its home and the node next in line (routing/replica_homes.h): who
/// sends a request there asks the home.
///
/// A new watcher is sent all events that the replica still keeps, some hundred kilobytes. So a node
/// begins to watch only when it has been in line for a while: a node that has just started sees
/// itself alone at first, and one that restarts is back in a moment.
///
/// A replica that names a rate limit takes calls within it as well: its home alone watches it then,
/// and seldom.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "clients/cache_feed_client.h"
#include "membership/member_directory.h"
#include "routing/cache_stores.h"
#include "routing/prefix_holders.h"
#include "routing/replica_directory.h"
#include "routing/replica_homes.h"

namespace covewing::routing {

struct CacheWatchOptions {
  /// How long a replica may hold a call without events.
  base::Duration longPollTimeout = std::chrono::seconds(1);
  /// Between an answer and the next call: events are taken in batches.
  base::Duration pollDelay = std::chrono::milliseconds(150);
  /// Between calls to a replica with a rate limit: this many intervals of the rate, so that most of
  /// it is left for requests, within these bounds.
  std::int64_t rateLimitIntervals = 20;
  base::Duration minimumRateLimitedDelay = std::chrono::seconds(2);
  base::Duration maximumRateLimitedDelay = std::chrono::minutes(2);
  /// After a failed call.
  base::Duration backoff = std::chrono::milliseconds(700);
  /// How often the choice of watchers is looked at again.
  base::Duration reviewInterval = std::chrono::milliseconds(500);
  /// Nodes that watch a replica or store where not all can. Two, so that the next home knows its
  /// cache when the home ends.
  std::uint32_t watchersPerTarget = 2;
  /// How long a node must have been in line before it watches: more than a restart takes, and than
  /// the membership takes to form.
  base::Duration eligibilityDelay = std::chrono::milliseconds(2000);
};

/// All must outlive the watch and share its thread.
struct CacheWatchEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  clients::CacheFeedClient& feed;
  const ReplicaDirectory& replicas;
  CacheStores& stores;
  const membership::MemberDirectory& members;
  PrefixHolders& holders;
};

/// A replica or store began to hold a part, or no longer holds it.
struct CacheChange {
  base::EngineId holder;
  CacheScope scope = 0;
  std::uint64_t part = 0;
  std::uint32_t previousTokens = 0;
  std::uint32_t currentTokens = 0;
};

class CacheWatch {
 public:
  /// Called with the changes at those replicas and stores that this node is the home of, where not
  /// all nodes watch them.
  using ChangeListener = std::function<void(const CacheChange&)>;

  /// The callers that a replica of this service lets watch it at once; 0: none.
  using WatcherLimit = std::function<std::uint32_t(const std::string& service)>;

  CacheWatch(CacheWatchOptions options, CacheWatchEnvironment environment, WatcherLimit limit);
  ~CacheWatch();
  CacheWatch(const CacheWatch&) = delete;
  CacheWatch& operator=(const CacheWatch&) = delete;

  /// Called with a replica that names a rate limit, before a call to it.
  using PollListener = std::function<void(const ReplicaRecord& replica)>;

  void start();
  void onRateLimitedPoll(PollListener listener) { pollListener_ = std::move(listener); }
  void onChange(ChangeListener listener) { changeListener_ = std::move(listener); }
  std::size_t watchCount() const { return watches_.size(); }

 private:
  struct Watch {
    /// Tells this watch from an earlier one of the same name, whose calls may still be under way.
    std::uint64_t id = 0;
    base::Endpoint endpoint;
    /// Of the replica; empty for a store.
    std::string zone;
    /// Callers that may watch.
    std::uint32_t limit = 0;
    std::uint64_t since = 0;
    std::uint64_t epoch = 0;
    base::TimerId timer = 0;
    /// The next call waits as the replica named a rate limit.
    bool rateLimited = false;
  };
  struct Target {
    base::Endpoint endpoint;
    std::string zone;
    std::uint32_t limit = 0;
  };
  /// What should be watched, by name.
  using Targets = std::map<std::string, Target>;

  void review();
  Targets selectTargets() const;
  /// Whether this node should watch what lets `limit` callers watch it.
  bool shouldWatch(const std::string& name, std::string_view zone, std::uint32_t limit) const;
  /// Of what should be watched, that for which this node has been in line long enough.
  Targets stableTargets(const Targets& targets);
  /// The watch with this name and number; null when it has ended.
  Watch* find(const std::string& name, std::uint64_t watchId);
  void poll(const std::string& name, std::uint64_t watchId);
  /// What the replica said of itself in the answer.
  void recordNotices(ReplicaRecord& replica, base::TimePoint sentAt,
                     const clients::CacheFeedReply& reply) const;
  void onReply(const std::string& name, Watch& watch, const clients::CacheFeedReply& reply);
  void applyEvents(const std::string& name, const Watch& watch,
                   const clients::CacheFeedReply& reply);
  void schedule(const std::string& name, Watch& watch, base::Duration delay);
  /// The rate limit that the replica names, in requests a second; empty without one.
  std::optional<double> rateLimitOf(const std::string& name) const;
  base::Duration delayFor(std::optional<double> rateLimit) const;
  /// Replicas that no longer name a limit are not waited for any more.
  void pollNoLongerLimited();

  CacheWatchOptions options_;
  CacheWatchEnvironment environment_;
  ReplicaHomes homes_;
  WatcherLimit watcherLimit_;
  ChangeListener changeListener_;
  PollListener pollListener_;
  std::map<std::string, Watch> watches_;
  /// Since when this node has been in line.
  std::map<std::string, base::TimePoint> eligibleSince_;
  std::uint64_t lastWatchId_ = 0;
  base::TimerId reviewTimer_ = 0;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::routing
