/// \file
/// Sizes of the HTTP messages between a node and an engine, without network headers: estimates of
/// what the live client and the emulator write.
#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"
#include "clients/engine_client.h"

namespace covewing::sim {

/// Patience of a node with an engine's reports and orders.
inline constexpr base::Duration kEngineTimeout = std::chrono::seconds(2);
inline constexpr std::size_t kEngineRequestHead = 200;
inline constexpr std::size_t kEngineAnswerHead = 150;
inline constexpr std::size_t kGenerateFields = 300;
/// Report without events, and one event: eight bytes in base64 and a letter.
inline constexpr std::size_t kReportFields = 350;
inline constexpr std::size_t kEventBytes = 12;
inline constexpr std::size_t kOrderBytes = 350;

inline std::size_t reportBytes(const std::optional<clients::EngineReport>& report) {
  return kEngineAnswerHead + (report ? kReportFields + report->events.size() * kEventBytes : 0);
}

inline std::size_t generateBytes(const clients::EngineRequest& request) {
  return kEngineRequestHead + kGenerateFields + request.generated.size() +
         (request.prompt ? request.prompt->size() : 0);
}

}  // namespace covewing::sim
