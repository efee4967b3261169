#include "live/boost_event_log.h"

#include <fmt/format.h>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
#include <iostream>

namespace covewing::live {

namespace {

namespace logging = boost::log;
namespace sinks = boost::log::sinks;

constexpr std::size_t kQueuedLines = 8192;
using Queue = sinks::bounded_fifo_queue<kQueuedLines, sinks::drop_on_overflow>;
using Sink = sinks::asynchronous_sink<sinks::text_ostream_backend, Queue>;

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
  for (const char letter : value) {
    if (letter == '"' || letter == '\\') line += '\\';
    const bool control = static_cast<unsigned char>(letter) < static_cast<unsigned char>(' ');
    line += control ? ' ' : letter;
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
  boost::shared_ptr<Sink> sink;
};

BoostEventLog::BoostEventLog(std::string process, base::Severity minimum)
    : process_(std::move(process)), minimum_(minimum), impl_(std::make_unique<Impl>()) {
  namespace expressions = logging::expressions;
  const auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  impl_->sink = boost::make_shared<Sink>(backend);
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
  impl_->sink->stop();
  impl_->sink->flush();
}

void BoostEventLog::write(base::Event event, std::initializer_list<base::EventField> fields) {
  if (base::describe(event).severity < minimum_) return;
  BOOST_LOG(impl_->logger) << formatEvent(event, process_, fields);
}

}  // namespace covewing::live
