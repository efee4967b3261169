/// \file
/// Breaks one mechanism of a fleet at a time, to show that the checkers notice. Mechanisms of nodes
/// are broken from outside, by faulty wrappers around the interfaces that a node is given; those of
/// engines by the models' own switches. The product's code is the same in every run.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "sim/fleet_options.h"

namespace covewing::sim {

enum class Mutation : std::uint8_t {
  kNone,
  /// Claims are granted without asking the table service.
  kNoClaim,
  /// A change of a template whose answer was lost is not recognised when it is read back.
  kNoReadBack,
  /// Dispatches that may have run are reported as not sent.
  kUnknownAsNotSent,
  /// Engines obey orders with older fencing tokens.
  kNoFencingCheck,
  /// Chunks of a resumed stream are passed on under the positions that are due.
  kNoPositionCheck,
  /// The end of a broken stream is made up.
  kNoTerminalCheck,
  /// Engines keep their cache over a crash and take requests for another incarnation.
  kNoIncarnation,
  /// The tenant's salt is not part of the cache identity.
  kNoTenantSalt,
  /// The weights version is not part of the cache identity.
  kNoWeightsVersion,
  /// Rows of older revisions are taken for newer ones.
  kNoRevisionCheck,
  /// Connections are reused after their answer was given up, and answers are not compared.
  kReuseAbandoned,
  /// Reports and lists no longer say that a back end leaves.
  kDrainIgnored,
};
inline constexpr std::size_t kMutationCount = 13;

struct MutationEntry {
  Mutation mutation;
  std::string_view name;
  std::string_view description;
  /// Scenario in which the mechanism matters.
  std::string_view scenario;
};

/// All mutations without kNone.
std::span<const MutationEntry> mutations();
std::optional<Mutation> findMutation(std::string_view name);
std::string_view toString(Mutation mutation);

/// Breaks the mechanism in a fleet that is yet to be made.
void applyMutation(Mutation mutation, FleetOptions& options);

}  // namespace covewing::sim
