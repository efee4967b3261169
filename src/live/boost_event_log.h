/// \file
/// Event log based on Boost.Log, which writes one line of key=value pairs per event.
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
  /// Events of a lower severity are not written.
  base::Severity minimum = base::Severity::kInfo;
  /// Stream that lines are written to; null for standard error. Must outlive all logging of the
  /// process.
  std::ostream* stream = nullptr;
  /// Number of queued lines at which routine events are dropped, and number at which all events are
  /// dropped. Final refusals of requests, warnings and errors are not routine events.
  std::size_t routineQueueLimit = 4096;
  std::size_t queueLimit = 8192;
};

/// Writes `time=... severity=... event=NUMBER name=NAME process=NAME field="value"...`.
///
/// Lines are written from a bounded queue by a Boost.Log thread: if the reader of the stream does
/// not keep up, lines are dropped, but no request is delayed. The number of dropped lines is logged
/// for each kind of event as soon as the reader has caught up (event LogLinesDropped). Only one
/// instance may exist at a time in a process.
class BoostEventLog final : public base::EventLog {
 public:
  explicit BoostEventLog(std::string process, BoostEventLogOptions options = {});
  /// Waits for a limited time until the queued lines are written; lines that a stalled reader has
  /// not accepted by then are abandoned.
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
  /// Number of lines dropped since the last report, by event.
  std::map<base::Event, std::uint64_t> dropped_;
};

/// Returns the line for one event, without its time.
std::string formatEvent(base::Event event, std::string_view process,
                        std::initializer_list<base::EventField> fields);

}  // namespace covewing::live
