// An event log that keeps what is written.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"

namespace covewing::test_support {

class RecordingLog final : public base::EventLog {
 public:
  void write(base::Event event, std::initializer_list<base::EventField> fields) override {
    entries.emplace_back(event, std::vector<base::EventField>(fields));
  }
  std::size_t count(base::Event event) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        entries, [event](const auto& entry) { return entry.first == event; }));
  }
  std::vector<std::pair<base::Event, std::vector<base::EventField>>> entries;
};

}  // namespace covewing::test_support
