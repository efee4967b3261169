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
  /// Caller listeners of the nodes; streams are assigned to them round-robin.
  std::vector<base::Endpoint> nodes;
  /// Engines that receive every second stream directly; if empty, all streams go through nodes.
  std::vector<clients::BackEndAddress> engines;
  /// Admin service of the emulator, from which the execution log is read.
  std::optional<base::Endpoint> admin;
  std::string bearerKey;
  std::string model = "rules";
  /// Number of concurrent streams in a closed loop.
  std::uint32_t streams = 50;
  /// Streams started per second in an open loop; 0 selects the closed loop.
  double rate = 0;
  base::Duration duration = std::chrono::seconds(10);
  std::uint32_t maximumTokens = 64;
  /// Number of leading prompt tokens that all streams share, and number of tokens after them that
  /// are unique to each stream.
  std::uint32_t sharedTokens = 512;
  std::uint32_t ownTokens = 64;
  std::uint64_t seed = 1;
};

/// Parses the command line. Returns nullopt if there is nothing to run; it has then printed the
/// help or an error message and set `exitStatus`.
std::optional<LiveOptions> parseLiveOptions(int argc, char** argv, int& exitStatus);

}  // namespace covewing::tools
