#include "live/boost_event_log.h"

#include <fmt/format.h>

#include <atomic>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <iostream>
#include <new>
#include <thread>
#include <utility>

namespace covewing::live {

namespace {

namespace logging = boost::log;
namespace sinks = boost::log::sinks;

/// How long the destructor waits for the reader of the stream at the end of the process, measured
/// with the steady clock: a suspension in that time delays the end by at most its own length.
constexpr std::chrono::milliseconds kFlushTimeout{500};
constexpr std::chrono::milliseconds kFlushPollInterval{5};

/// Writes lines to a stream and counts those that are still queued.
class LineBackend final
    : public sinks::basic_formatted_sink_backend<char, sinks::synchronized_feeding> {
 public:
  explicit LineBackend(std::ostream& stream) : stream_(stream) {}
  void consume(const logging::record_view& /*record*/, const std::string& line) {
    stream_ << line << std::endl;
    queued.fetch_sub(1);
  }
  std::atomic<std::size_t> queued{0};

 private:
  std::ostream& stream_;
};

using Sink = sinks::asynchronous_sink<LineBackend>;

/// Returns false for final refusals of requests and for warnings and errors, which are dropped
/// last.
bool isRoutine(base::Event event) {
  return base::describe(event).severity == base::Severity::kInfo &&
         event != base::Event::kRequestRefused;
}

std::string_view toString(base::Severity severity) {
  switch (severity) {
    case base::Severity::kInfo:
      return "info";
    case base::Severity::kWarning:
      return "warning";
    case base::Severity::kError:
      return "error";
  }
  return "error";
}

void appendQuoted(std::string& line, std::string_view value) {
  line += '"';
  for (const char character : value) {
    if (character == '"' || character == '\\') line += '\\';
    const bool control = static_cast<unsigned char>(character) < static_cast<unsigned char>(' ');
    line += control ? ' ' : character;
  }
  line += '"';
}

}  // namespace

std::string formatEvent(base::Event event, std::string_view process,
                        std::initializer_list<base::EventField> fields) {
  const auto& entry = base::describe(event);
  auto line = fmt::format("severity={} event={} name={} process=", toString(entry.severity),
                          static_cast<unsigned>(event), entry.name);
  appendQuoted(line, process);
  for (const auto& field : fields) {
    line += ' ';
    line += field.name;
    line += '=';
    appendQuoted(line, field.value);
  }
  return line;
}

struct BoostEventLog::Impl {
  logging::sources::logger logger;
  boost::shared_ptr<LineBackend> backend;
  boost::shared_ptr<Sink> sink;
};

BoostEventLog::BoostEventLog(std::string process, BoostEventLogOptions options)
    : process_(std::move(process)), options_(options), impl_(std::make_unique<Impl>()) {
  namespace expressions = logging::expressions;
  auto& stream = options_.stream == nullptr ? std::clog : *options_.stream;
  impl_->backend = boost::make_shared<LineBackend>(stream);
  impl_->sink = boost::make_shared<Sink>(impl_->backend);
  impl_->sink->set_formatter(expressions::stream
                             << "time="
                             << expressions::format_date_time<boost::posix_time::ptime>(
                                    "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                             << ' ' << expressions::smessage);
  logging::core::get()->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
  logging::core::get()->add_sink(impl_->sink);
}

BoostEventLog::~BoostEventLog() {
  logging::core::get()->remove_sink(impl_->sink);
  const auto end = std::chrono::steady_clock::now() + kFlushTimeout;
  while (impl_->backend->queued > 0 && std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(kFlushPollInterval);
  if (impl_->backend->queued == 0) {
    impl_->sink->stop();
    return;
  }
  // The writing thread is blocked by the reader and cannot be joined; it ends with the process. The
  // sink is leaked on purpose, because that thread still uses it.
  static_cast<void>(new (std::nothrow) boost::shared_ptr<Sink>(impl_->sink));
}

void BoostEventLog::write(base::Event event, std::initializer_list<base::EventField> fields) {
  if (base::describe(event).severity < options_.minimum) return;
  const auto queued = impl_->backend->queued.load();
  const auto limit = isRoutine(event) ? options_.routineQueueLimit : options_.queueLimit;
  if (queued >= limit) {
    ++dropped_[event];
    return;
  }
  // The queue has drained to less than half of its limit for routine lines.
  if (!dropped_.empty() && queued < options_.routineQueueLimit / 2) reportDropped();
  push(event, fields);
}

void BoostEventLog::push(base::Event event, std::initializer_list<base::EventField> fields) {
  impl_->backend->queued.fetch_add(1);
  BOOST_LOG(impl_->logger) << formatEvent(event, process_, fields);
}

void BoostEventLog::reportDropped() {
  for (const auto& [event, lines] : std::exchange(dropped_, {})) {
    push(base::Event::kLogLinesDropped,
         {{"kind", std::string{base::describe(event).name}}, {"lines", std::to_string(lines)}});
  }
}

}  // namespace covewing::live
