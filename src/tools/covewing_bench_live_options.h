/// \file
/// Command line of `covewing-bench live`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "clients/back_end.h"

namespace covewing::tools {

struct LiveOptions {
  /// Caller listeners of nodes; streams take them in turn.
  std::vector<base::Endpoint> nodes;
  /// Engines that half of the streams go straight to; empty: all streams go through nodes.
  std::vector<clients::BackEndAddress> engines;
  /// Admin service of the emulator, for the record of executions.
  std::optional<base::Endpoint> admin;
  std::string bearerKey;
  std::string model = "rules";
  /// Streams open at a time (closed loop).
  std::uint32_t streams = 50;
  /// Streams started a second (open loop); 0: closed loop.
  double rate = 0;
  base::Duration duration = std::chrono::seconds(10);
  std::uint32_t maximumTokens = 64;
  /// Tokens of the prompt's start that all streams share, and of its own rest.
  std::uint32_t sharedTokens = 512;
  std::uint32_t ownTokens = 64;
  std::uint64_t seed = 1;
};

/// Empty, with `exitStatus` set and a message or the help printed, when there is nothing to run.
std::optional<LiveOptions> parseLiveOptions(int argc, char** argv, int& exitStatus);

}  // namespace covewing::tools
