/// \file
/// Numbered, structured log events (docs/EVENTS.md). Decision code writes through EventLog; the
/// live runtime hands the records to Boost.Log, the simulator to its history.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

#include "base/time.h"

namespace covewing::base {

enum class Severity : std::uint8_t { kInfo, kWarning, kError };

/// Stable event numbers; the list is events.def.
enum class Event : std::uint16_t {
#define COVEWING_EVENT(name, number, severity, meaning) k##name = (number),
#include "base/events.def"
#undef COVEWING_EVENT
};

/// One line of the event catalogue.
struct EventEntry {
  Event event;
  std::string_view name;
  Severity severity;
  std::string_view meaning;
};

/// All events in ascending order of number.
std::span<const EventEntry> eventTable();
/// The catalogue's line of `event`.
const EventEntry& describe(Event event);

/// A named value of an event, such as {"engine", "rules-07"}.
struct EventField {
  std::string_view name;
  std::string value;
};

/// A duration as a field's value: whole milliseconds.
std::string millisecondsText(Duration duration);

/// Sink of log events. Never blocks and never fails towards its caller.
class EventLog {
 public:
  virtual ~EventLog() = default;
  virtual void write(Event event, std::initializer_list<EventField> fields) = 0;
};

/// Discards every event.
class NullEventLog final : public EventLog {
 public:
  void write(Event /*event*/, std::initializer_list<EventField> /*fields*/) override {}
};

}  // namespace covewing::base
