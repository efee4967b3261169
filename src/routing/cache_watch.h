/// \file
/// Keeps PrefixHolders up to date by watching the cache events of replicas and of external KV cache
/// stores.
///
/// Each replica or store accepts a limited number of watchers. If there are more nodes than that, a
/// replica or store is watched by its home and by the next node in the home order
/// (routing/replica_homes.h). Nodes that send requests there query the home.
///
/// A new watcher receives all events that the replica still retains, some hundred kilobytes.
/// Therefore a node starts to watch only after it has been eligible for a while: a node that has
/// just started initially sees no other members, and a node that restarts is back after a short
/// time.
///
/// A replica that reports a rate limit counts these polls against it as well. In that case, only
/// its home watches it, and polls it infrequently.
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
  /// How long a replica may hold a poll open while it has no events to return.
  base::Duration longPollTimeout = std::chrono::seconds(1);
  /// Delay between a reply and the next poll, so that events are received in batches.
  base::Duration pollDelay = std::chrono::milliseconds(150);
  /// Delay between polls of a replica with a rate limit: this many intervals of the rate, so that
  /// most of the rate remains available for requests, within the minimum and maximum below.
  std::int64_t rateLimitIntervals = 20;
  base::Duration minimumRateLimitedDelay = std::chrono::seconds(2);
  base::Duration maximumRateLimitedDelay = std::chrono::minutes(2);
  /// Delay before the next poll after a failed one, if it is longer than the regular delay.
  base::Duration backOff = std::chrono::milliseconds(700);
  /// Interval at which the set of watched replicas and stores is re-evaluated.
  base::Duration reviewInterval = std::chrono::milliseconds(500);
  /// Number of nodes that watch a replica or store which does not accept all nodes as watchers. Two
  /// nodes watch it so that, if the home fails, the next home already has its cache contents.
  std::uint32_t watchersPerTarget = 2;
  /// How long a node must have been eligible before it starts to watch. Must exceed the duration of
  /// a restart and the time in which the membership forms.
  base::Duration eligibilityDelay = std::chrono::milliseconds(2000);
};

/// All references must outlive the watch and are used on its thread.
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

/// Reports that a replica or store started to hold a prompt part or no longer holds it.
struct CacheChange {
  base::EngineId holder;
  CacheScope scope = 0;
  std::uint64_t part = 0;
  std::uint32_t previousTokens = 0;
  std::uint32_t currentTokens = 0;
};

class CacheWatch {
 public:
  /// Called for changes at the replicas and stores of which this node is the home, provided that
  /// not all nodes watch them.
  using ChangeListener = std::function<void(const CacheChange&)>;

  /// Returns how many callers may watch a replica of the service at the same time; 0 if watching is
  /// not possible.
  using WatcherLimit = std::function<std::uint32_t(const std::string& service)>;

  CacheWatch(CacheWatchOptions options, CacheWatchEnvironment environment, WatcherLimit limit);
  ~CacheWatch();
  CacheWatch(const CacheWatch&) = delete;
  CacheWatch& operator=(const CacheWatch&) = delete;

  /// Called with a replica that reports a rate limit, before each poll of it.
  using PollListener = std::function<void(const ReplicaRecord& replica)>;

  using UnansweredListener = std::function<void(const ReplicaRecordPtr& replica)>;

  void start();
  /// Ends the watches of replicas and stores that have ended or are no longer listed. To be called
  /// after each removal: their addresses may belong to others by now.
  void endUnlisted();
  void onRateLimitedPoll(PollListener listener) { pollListener_ = std::move(listener); }
  /// `listener` is called with each replica that did not respond to a poll.
  void onUnanswered(UnansweredListener listener) { unansweredListener_ = std::move(listener); }
  void onChange(ChangeListener listener) { changeListener_ = std::move(listener); }
  std::size_t watchCount() const { return watches_.size(); }

 private:
  struct Target {
    clients::CacheFeedTarget receiver;
    /// Zone of the replica; empty for a store.
    std::string zone;
    /// Maximum number of callers that may watch at the same time.
    std::uint32_t limit = 0;
  };
  struct Watch {
    explicit Watch(Target watched) : target(std::move(watched)) {}

    /// Distinguishes this watch from an earlier one of the same name whose polls may still be in
    /// flight.
    std::uint64_t id = 0;
    /// Whom the watch was begun for. Its polls go to no one else.
    Target target;
    std::unique_ptr<clients::CacheFeedCall> call;
    std::uint64_t polls = 0;
    /// The latest poll got no usable response.
    bool failing = false;
    std::uint64_t since = 0;
    std::uint64_t epoch = 0;
    base::TimerId timer = 0;
    /// True if the next poll is delayed because the replica reported a rate limit.
    bool rateLimited = false;
  };
  /// The replicas and stores to watch, by name.
  using Targets = std::map<std::string, Target>;

  using Watches = std::map<std::string, Watch>;

  void review();
  void begin(const std::string& name, const Target& target);
  /// Whether the one that the watch was begun for is still listed under the same address.
  bool isListed(const std::string& name, const Watch& watch) const;
  /// Ends the watch and returns the next one.
  Watches::iterator end(Watches::iterator watch, std::string_view why);
  Targets selectTargets() const;
  /// Whether this node should watch a replica or store that accepts `limit` watchers.
  bool shouldWatch(const std::string& name, std::string_view zone, std::uint32_t limit) const;
  /// Returns those of `targets` for which this node has been eligible long enough.
  Targets stableTargets(const Targets& targets);
  /// Returns the watch with this name and id; null if it has ended.
  Watch* find(const std::string& name, std::uint64_t watchId);
  void poll(const std::string& name, std::uint64_t watchId);
  void onPolled(const std::string& name, std::uint64_t watchId, base::TimePoint sentAt,
                const clients::CacheFeedReply& reply);
  /// Records the notices that the replica included in its reply.
  void recordNotices(ReplicaRecord& replica, base::TimePoint sentAt,
                     const clients::CacheFeedReply& reply) const;
  void onReply(const std::string& name, Watch& watch, const clients::CacheFeedReply& reply);
  /// Whether the responder is another one than that of the polls before, because its cache was
  /// begun anew since: a replica's cache lasts as long as the instance.
  static bool isOfNextInstance(const Watch& watch, const clients::CacheFeedReply& reply);
  /// Called when another instance responded to a poll of the replica.
  void onOtherInstance(const std::string& name, const clients::Responder& responder);
  void logFailure(const std::string& name, Watch& watch, const clients::CacheFeedReply& reply);
  void applyEvents(const std::string& name, const Watch& watch,
                   const clients::CacheFeedReply& reply);
  void schedule(const std::string& name, Watch& watch, base::Duration delay);
  /// The rate limit that the replica reports, in requests per second; empty if it reports none.
  std::optional<double> rateLimitOf(const std::string& name) const;
  base::Duration delayFor(std::optional<double> rateLimit) const;
  /// Polls replicas that no longer report a rate limit at once instead of waiting for the end of
  /// the delay.
  void pollNoLongerLimited();

  CacheWatchOptions options_;
  CacheWatchEnvironment environment_;
  ReplicaHomes homes_;
  WatcherLimit watcherLimit_;
  ChangeListener changeListener_;
  PollListener pollListener_;
  UnansweredListener unansweredListener_;
  Watches watches_;
  /// The time since which this node has been eligible to watch each target, by name.
  std::map<std::string, base::TimePoint> eligibleSince_;
  std::uint64_t lastWatchId_ = 0;
  base::TimerId reviewTimer_ = 0;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::routing
