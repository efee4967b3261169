/// \file
/// Writes and releases the claims of one node within the fleet's transaction budget for the table
/// service.
///
/// A node commits its claims itself as long as its share of the budget allows. Claims beyond it are
/// forwarded to one of a few collector nodes of the region, selected by the key; the collector
/// commits the claims of many nodes in one transaction. Only the row decides who owns a claim, and
/// its value identifies the owner. If a collector does not reply in time, the node commits the
/// claim itself. That commit is conditional on the row not existing yet, and a row that the
/// collector has written in the meantime is recognized as the node's own by its value.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>

#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/table_client.h"
#include "membership/member_directory.h"
#include "request/claim.h"
#include "request/claim_committer.h"
#include "request/claim_messages.h"
#include "request/one_shot_timer.h"
#include "request/token_bucket.h"

namespace covewing::request {

struct ClaimOptions {
  /// Transactions per second that all nodes together may commit without a collector.
  double fleetDirectTransactionsPerSecond = 40;
  /// Burst of claims that a node may commit itself before its share of the rate applies.
  double directBurst = 2;
  std::size_t collectorsPerRegion = 8;
  double collectorTransactionsPerSecond = 4;
  /// Maximum wait for the reply of a collector.
  base::Duration collectorTimeout = std::chrono::milliseconds(600);
};

/// Services used by ClaimStore. All must outlive it and are used on its thread.
struct ClaimEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::PeerTransport& peers;
  clients::TableClient& table;
  const membership::MemberDirectory& members;
};

/// Counters for metrics and measurements.
struct ClaimCounters {
  std::uint64_t direct = 0;
  std::uint64_t forwarded = 0;
  /// Forwarded claims that the collector did not settle.
  std::uint64_t fallbacks = 0;
  std::uint64_t malformed = 0;
};

class ClaimStore final : public base::PeerHandler {
 public:
  ClaimStore(ClaimOptions options, const ClaimEnvironment& environment);
  ~ClaimStore() override;
  ClaimStore(const ClaimStore&) = delete;
  ClaimStore& operator=(const ClaimStore&) = delete;

  /// Claims `idempotencyKey` for the request. Calls `callback` exactly once, asynchronously, within
  /// `limit`. If the result is kDuplicate or kUnavailable, the request must not be dispatched.
  void claim(base::TenantId tenant, std::string_view idempotencyKey, const base::RequestId& request,
             base::Duration limit, ClaimCallback callback);
  /// Releases the claim; see ClaimCommitter::release.
  void release(Claim claim) { direct_.release(std::move(claim)); }

  /// Handles messages of the channel kRequest.
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

  const ClaimCounters& counters() const { return counters_; }
  const ClaimCommitCounters& directCounters() const { return direct_.counters(); }
  const ClaimCommitCounters& collectorCounters() const { return collector_.counters(); }

 private:
  /// A claim that was forwarded to a collector and is not settled yet.
  struct Forwarded {
    explicit Forwarded(base::TimerService& timers) : timeout(timers) {}
    ClaimSpec spec;
    base::TimePoint deadline;
    ClaimCallback callback;
    OneShotTimer timeout;
  };

  bool takeDirectShare();
  /// The collector that is responsible for the key; empty if fewer than two nodes of the region are
  /// eligible.
  std::optional<membership::Member> collectorOf(std::string_view key) const;
  void forward(const membership::Member& collector, ClaimSpec spec, base::Duration limit,
               ClaimCallback callback);
  void fallBack(std::uint64_t number);
  void handle(const base::PeerIdentity& sender, const ClaimRequest& request);
  void handle(const base::PeerIdentity& sender, const ClaimReply& reply);

  ClaimOptions options_;
  ClaimEnvironment environment_;
  ClaimCommitter direct_;
  ClaimCommitter collector_;
  TokenBucket directShare_;
  /// Unsettled forwarded claims by the number of their request message.
  std::map<std::uint64_t, std::unique_ptr<Forwarded>> forwarded_;
  ClaimCounters counters_;
};

}  // namespace covewing::request
