/// \file
/// The planned size of the fleet in two years, and the limits of a node's resource use for control
/// at that size. The figures are the users' target, except for the share of calls that need a
/// claim, which is an assumption.
#pragma once

namespace covewing::capacity {

inline constexpr double kNodes = 340;
inline constexpr double kEngines = 640;
inline constexpr double kBlocks = 93e6;
inline constexpr double kEventsPerSecond = 74'000;
inline constexpr double kRequestsPerSecond = 3'700;
inline constexpr double kTenants = 7'400;
inline constexpr double kChangesPerSecond = 1'900.0 / 86'400.0;
inline constexpr double kZones = 7;
inline constexpr double kRegions = 2;
inline constexpr double kModels = 4;

/// Assumption: two in a hundred requests are calls that must be executed at most once.
inline constexpr double kClaimShare = 0.02;
inline constexpr double kClaimsPerSecond = kRequestsPerSecond * kClaimShare;

/// Limits of one node's use for control.
inline constexpr double kLimitBytesPerSecond = 14'000;
inline constexpr double kLimitCpuPercent = 1.1;
inline constexpr double kLimitMemoryMegabytes = 64;

}  // namespace covewing::capacity
