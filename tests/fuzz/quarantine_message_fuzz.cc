/// \file
/// Messages and entries of the quarantine: any bytes decode to what encodes again, or to nothing.
#include <cstddef>
#include <cstdint>

#include "quarantine/quarantine_messages.h"

namespace {

namespace quarantine = covewing::quarantine;

void checkAgain(const quarantine::CrashReport& message) {
  const auto again = quarantine::decodeQuarantineMessage(quarantine::encode(message));
  const auto* ended = again ? std::get_if<quarantine::CrashReport>(&*again) : nullptr;
  if (ended == nullptr || ended->runs != message.runs || ended->begun != message.begun ||
      ended->age != message.age)
    __builtin_trap();
}

void checkAgain(const quarantine::RequestSuspected& message) {
  const auto again = quarantine::decodeQuarantineMessage(quarantine::encode(message));
  const auto* suspected = again ? std::get_if<quarantine::RequestSuspected>(&*again) : nullptr;
  if (suspected == nullptr || suspected->replicas != message.replicas ||
      suspected->announcedAt != message.announcedAt || suspected->ages != message.ages ||
      suspected->begun != message.begun)
    __builtin_trap();
}

void checkAgain(const quarantine::RequestServed& message) {
  const auto again = quarantine::decodeQuarantineMessage(quarantine::encode(message));
  const auto* served = again ? std::get_if<quarantine::RequestServed>(&*again) : nullptr;
  if (served == nullptr || served->feature != message.feature) __builtin_trap();
}

void checkAgain(const quarantine::QuarantineEntry& entry) {
  const auto again = quarantine::decodeQuarantineEntry(quarantine::encode(entry));
  if (!again || again->version() != entry.version()) __builtin_trap();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (const auto message = quarantine::decodeQuarantineMessage(bytes))
    std::visit([](const auto& known) { checkAgain(known); }, *message);
  return 0;
}
