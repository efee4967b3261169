#include "base/event_log.h"

#include <algorithm>

namespace covewing::base {

namespace {
constexpr EventEntry kTable[] = {
#define COVEWING_EVENT(name, number, severity, meaning) \
  {Event::k##name, #name, Severity::k##severity, meaning},
#include "base/events.def"
#undef COVEWING_EVENT
};
}  // namespace

std::span<const EventEntry> eventTable() { return kTable; }

const EventEntry& describe(Event event) {
  const auto* entry =
      std::ranges::find_if(kTable, [event](const EventEntry& line) { return line.event == event; });
  return entry == std::end(kTable) ? kTable[0] : *entry;
}

std::string millisecondsText(Duration duration) {
  return std::to_string(duration / std::chrono::milliseconds(1));
}

}  // namespace covewing::base
