/// \file
/// Parameters of an emulated engine; docs/EMULATOR.md says where the defaults come from.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "clients/engine_client.h"
#include "emulator/cache_event_journal.h"

namespace covewing::emulator {

/// Time of one step: base + prefill tokens + decoding sequences, each at its price.
struct StepCosts {
  base::Duration base = std::chrono::milliseconds(8);
  /// 90 us a token: 9,400 prompt tokens a second in full steps.
  base::Duration perPrefillToken{90};
  /// 250 us a sequence: 16 ms a token in a batch of 32.
  base::Duration perDecodingSequence{250};
  /// Divides the sum.
  double speed = 1.0;
};

/// Checks that a mutation run switches off to see that checkers notice; all are on by default.
struct EngineSafeguards {
  /// The tenant's salt is part of the block hash.
  bool separateTenants = true;
  /// The weights version is part of the block hash.
  bool separateVersions = true;
  /// A request for another incarnation is refused.
  bool checkIncarnation = true;
  /// A crash empties the cache.
  bool crashLosesCache = true;
  /// An order with an older fencing token is refused.
  bool checkFencing = true;
};

struct EngineModelOptions {
  std::string name;
  /// Memory in blocks of 16 tokens, shared by cache and running requests.
  std::uint32_t capacityBlocks = 8192;
  /// Most prompt tokens computed in one step (chunked prefill).
  std::uint32_t prefillTokensPerStep = 512;
  std::uint32_t maximumRunning = 64;
  /// Waiting requests over all priorities; more are refused, not run.
  std::uint32_t maximumWaiting = 256;
  StepCosts step;
  CacheEventOptions cacheEvents;
  /// Load is sampled this often and published one period later.
  base::Duration loadReportPeriod = std::chrono::milliseconds(250);
  /// Weights at the first start.
  std::vector<clients::LoadedWeights> weights;
  /// Sets of weights that fit in memory together.
  std::uint32_t maximumLoadedWeights = 2;
  /// An adapter's size as a share of a whole set of weights.
  double adapterShare = 0.1;
  /// No step runs while weights are being loaded.
  bool stallsWhileLoading = true;
  /// The platform keeps each engine's highest fencing token and its last weights over a crash.
  bool keepsFencingTokenOverCrash = true;
  bool reloadsWeightsOnRestart = true;
  clients::EngineRole role = clients::EngineRole::kServing;
  base::Incarnation firstIncarnation = 1;
  EngineSafeguards safeguards;
};

}  // namespace covewing::emulator
