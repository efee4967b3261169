/// \file
/// Event log on Boost.Log: one line of key=value pairs for each event, on standard error.
#pragma once

#include <memory>
#include <string>

#include "base/event_log.h"

namespace covewing::live {

/// Writes `time=... severity=... event=NUMBER name=NAME process=NAME field="value"...`. Lines are
/// written by a thread of Boost.Log from a bounded queue; where the queue is full, lines are
/// dropped rather than the node held up. Only one may exist at a time in a process.
class BoostEventLog final : public base::EventLog {
 public:
  /// Events below `minimum` are not written.
  explicit BoostEventLog(std::string process, base::Severity minimum = base::Severity::kInfo);
  /// Flushes what is queued.
  ~BoostEventLog() override;
  BoostEventLog(const BoostEventLog&) = delete;
  BoostEventLog& operator=(const BoostEventLog&) = delete;

  void write(base::Event event, std::initializer_list<base::EventField> fields) override;

 private:
  struct Impl;
  std::string process_;
  base::Severity minimum_;
  std::unique_ptr<Impl> impl_;
};

/// The line of one event, without its time.
std::string formatEvent(base::Event event, std::string_view process,
                        std::initializer_list<base::EventField> fields);

}  // namespace covewing::live
