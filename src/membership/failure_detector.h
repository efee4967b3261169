/// \file
/// Probing of random members in turn: ping, then pings through helpers, then a verdict. Constant
/// cost a node whatever the size of the fleet. (SWIM: Das, Gupta, Motivala, DSN 2002.)
///
/// States of one probe: pinged -> (no ack in time) asked helpers -> (none by the end of the period)
/// failed. An ack at any point ends it.
///
/// While probes fail, more members are probed in each period, so that a side that is cut off soon
/// knows which of many members it has lost.
#pragma once

#include <cstdint>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "membership/member_table.h"

namespace covewing::membership {

struct FailureDetectorOptions {
  /// One member is probed in each period.
  base::Duration probePeriod = std::chrono::seconds(1);
  /// Time for a direct answer, before helpers are asked.
  base::Duration ackTimeout = std::chrono::milliseconds(300);
  /// Members asked to ping on this node's behalf.
  std::size_t helpers = 3;
  /// Members probed in one period while probes fail.
  std::size_t mostProbes = 8;
};

/// What the detector asks of its owner.
class ProbeActions {
 public:
  virtual ~ProbeActions() = default;
  virtual void sendPing(const Member& target, std::uint64_t sequence) = 0;
  virtual void sendPingRequest(const Member& helper, base::NodeId target,
                               std::uint64_t sequence) = 0;
  /// Neither the member nor a helper answered within the period.
  virtual void onProbeFailed(base::NodeId target) = 0;
};

class FailureDetector {
 public:
  FailureDetector(FailureDetectorOptions options, base::TimerService& timers,
                  base::RandomSource& random, const MemberTable& members, ProbeActions& actions);
  ~FailureDetector();
  FailureDetector(const FailureDetector&) = delete;
  FailureDetector& operator=(const FailureDetector&) = delete;

  /// Ends the probe under way with its verdict and begins the next; called once in each period.
  void beginPeriod();
  /// Drops the probe under way without a verdict: this process could not have heard the answer.
  void forgive() { probes_.clear(); }
  /// Makes the member the next to be probed.
  void probeSoon(base::NodeId target);
  void onAck(std::uint64_t sequence);
  std::uint64_t nextSequence() { return ++sequence_; }

 private:
  struct Probe {
    base::NodeId target;
    std::uint64_t sequence = 0;
  };

  const Member* nextTarget();
  void askHelpers();

  FailureDetectorOptions options_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  const MemberTable& members_;
  ProbeActions& actions_;
  /// Members still to be probed in this round, in random order; each round probes all.
  std::vector<base::NodeId> round_;
  /// Without an answer so far.
  std::vector<Probe> probes_;
  /// How many to probe in the next period.
  std::size_t probeCount_ = 1;
  base::TimerId timer_ = 0;
  std::uint64_t sequence_ = 0;
};

}  // namespace covewing::membership
