/// \file
/// Event log on Boost.Log: one line of key=value pairs for each event.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>

#include "base/event_log.h"

namespace covewing::live {

struct BoostEventLogOptions {
  /// Events below this are not written.
  base::Severity minimum = base::Severity::kInfo;
  /// Where lines go; null: standard error. Must outlive the process' logging.
  std::ostream* stream = nullptr;
  /// Lines waiting to be written beyond which routine events are left out, and beyond which all
  /// are. The last word on a failed request, warnings and errors are no routine events.
  std::size_t routineQueueLimit = 4096;
  std::size_t queueLimit = 8192;
};

/// Writes `time=... severity=... event=NUMBER name=NAME process=NAME field="value"...`.
///
/// Lines are written by a thread of Boost.Log from a bounded queue: a reader that does not keep up
/// costs lines and never holds a request up. What was left out is told by kind, as soon as the
/// reader has caught up (event LogLinesDropped). Only one may exist at a time in a process.
class BoostEventLog final : public base::EventLog {
 public:
  explicit BoostEventLog(std::string process, BoostEventLogOptions options = {});
  /// Waits shortly for what is queued; a reader that has stopped reading is not waited for.
  ~BoostEventLog() override;
  BoostEventLog(const BoostEventLog&) = delete;
  BoostEventLog& operator=(const BoostEventLog&) = delete;

  void write(base::Event event, std::initializer_list<base::EventField> fields) override;

 private:
  struct Impl;
  void push(base::Event event, std::initializer_list<base::EventField> fields);
  void reportDropped();

  std::string process_;
  BoostEventLogOptions options_;
  std::unique_ptr<Impl> impl_;
  /// Lines left out since the last report, by event.
  std::map<base::Event, std::uint64_t> dropped_;
};

/// The line of one event, without its time.
std::string formatEvent(base::Event event, std::string_view process,
                        std::initializer_list<base::EventField> fields);

}  // namespace covewing::live
