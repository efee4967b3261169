/// \file
/// Makes and releases the claims of one node within the fleet's budget for the table service.
///
/// A node commits its claims itself as long as its share of the budget lasts. Beyond it, claims go
/// to one of a few collector nodes of the region, chosen by the key, which commits those of many
/// nodes together. The row stays the only authority, recognised by its value: a collector that
/// does not answer in time is passed over, and the row is looked for before it is written again.
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
  /// Transactions a second that all nodes together make without a collector.
  double fleetDirectTransactionsPerSecond = 40;
  /// Claims that a node commits at once before its share counts.
  double directBurst = 2;
  std::size_t collectorsPerRegion = 8;
  double collectorTransactionsPerSecond = 4;
  /// Longest wait for a collector's answer.
  base::Duration collectorTimeout = std::chrono::milliseconds(600);
};

/// All must outlive the store and share its thread.
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
  /// Forwarded claims whose collector did not settle them.
  std::uint64_t fallbacks = 0;
  std::uint64_t malformed = 0;
};

class ClaimStore final : public base::PeerHandler {
 public:
  ClaimStore(ClaimOptions options, const ClaimEnvironment& environment);
  ~ClaimStore() override;
  ClaimStore(const ClaimStore&) = delete;
  ClaimStore& operator=(const ClaimStore&) = delete;

  /// Claims `idempotencyKey` for the request. Calls back exactly once, later, within `limit`; after
  /// kDuplicate and kUnavailable the request must not be dispatched.
  void claim(base::TenantId tenant, std::string_view idempotencyKey, const base::RequestId& request,
             base::Duration limit, ClaimCallback callback);
  /// Gives the claim up; see ClaimCommitter::release.
  void release(Claim claim) { direct_.release(std::move(claim)); }

  /// Handler of the channel kRequest.
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

  const ClaimCounters& counters() const { return counters_; }
  const ClaimCommitCounters& directCounters() const { return direct_.counters(); }
  const ClaimCommitCounters& collectorCounters() const { return collector_.counters(); }

 private:
  /// A claim sent to a collector.
  struct Forwarded {
    explicit Forwarded(base::TimerService& timers) : timeout(timers) {}
    ClaimSpec spec;
    base::TimePoint deadline;
    ClaimCallback callback;
    OneShotTimer timeout;
  };

  bool takeDirectShare();
  /// The collector of a key; empty when this node is alone.
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
  /// By number: the random one of its ask.
  std::map<std::uint64_t, std::unique_ptr<Forwarded>> forwarded_;
  ClaimCounters counters_;
};

}  // namespace covewing::request
