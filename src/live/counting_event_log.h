/// \file
/// Forwards log events to another log and reports each to a callback, so that metrics count them.
#pragma once

#include <functional>
#include <utility>

#include "base/event_log.h"

namespace covewing::live {

class CountingEventLog final : public base::EventLog {
 public:
  CountingEventLog(base::EventLog& next, std::function<void(base::Event)> count)
      : next_(next), count_(std::move(count)) {}
  void write(base::Event event, std::initializer_list<base::EventField> fields) override {
    count_(event);
    next_.write(event, fields);
  }

 private:
  base::EventLog& next_;
  std::function<void(base::Event)> count_;
};

}  // namespace covewing::live
