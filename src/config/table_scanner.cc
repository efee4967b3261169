#include "config/table_scanner.h"

#include <algorithm>

namespace covewing::config {

namespace {
constexpr double kPeriodJitter = 0.1;
constexpr double kBackoffJitter = 0.5;
constexpr std::uint32_t kMaximumDoublings = 10;
}  // namespace

TableScanner::TableScanner(TableScannerOptions options, base::Clock& clock,
                           base::TimerService& timers, base::RandomSource& random,
                           base::EventLog& log, clients::TableClient& table,
                           ConfigurationStore& store)
    : options_(options),
      clock_(clock),
      timers_(timers),
      random_(random),
      log_(log),
      table_(table),
      store_(store) {}

TableScanner::~TableScanner() { timers_.cancel(timer_); }

void TableScanner::setActive(bool active) {
  if (active_ == active) return;
  active_ = active;
  timers_.cancel(timer_);
  failures_ = 0;
  if (!active_) return;
  scheduleIn(store_.loaded() ? random_.jittered(options_.period / 2, 1) : base::Duration{0});
}

void TableScanner::hasten() {
  if (active_ && underWay_ == 0 && failures_ == 0) onTurn();
}

void TableScanner::scheduleIn(base::Duration delay) {
  timers_.cancel(timer_);
  timer_ = timers_.schedule(delay, [this] { onTurn(); });
}

void TableScanner::onTurn() {
  scheduleIn(random_.jittered(options_.period, kPeriodJitter));
  const std::size_t most = store_.loaded() ? options_.mostUnderWay : 1;
  if (underWay_ < most) scan();
}

void TableScanner::scan() {
  ++underWay_;
  const base::TimePoint askedAt = clock_.now();
  table_.scan(
      std::string(kTemplatePrefix), store_.completeUpTo(), options_.rowsPerScan,
      [this, askedAt, alive = std::weak_ptr<bool>(alive_)](const clients::TableReply& reply) {
        if (!alive.expired()) onScanned(askedAt, reply);
      });
}

void TableScanner::onScanned(base::TimePoint askedAt, const clients::TableReply& reply) {
  --underWay_;
  if (reply.status != clients::TableStatus::kOk) return onFailed();
  if (failures_ > 0) {
    log_.write(base::Event::kPlatformRecovered, {{"service", "table"}});
    failures_ = 0;
    if (active_) scheduleIn(random_.jittered(options_.period, kPeriodJitter));
  }
  for (const clients::TableRow& row : reply.rows) store_.apply(row);
  store_.advance(reply.revision);
  const bool complete = reply.rows.size() < options_.rowsPerScan;
  if (complete) {
    store_.confirm(reply.revision, askedAt);
    store_.markLoaded();
  } else if (active_) {
    scheduleIn(base::Duration{0});
  }
}

void TableScanner::onFailed() {
  if (failures_++ == 0) log_.write(base::Event::kPlatformUnavailable, {{"service", "table"}});
  const std::uint32_t doublings = std::min(failures_ - 1, kMaximumDoublings);
  const base::Duration backoff =
      std::min(options_.period * (1U << doublings), options_.longestBackoff);
  if (active_) scheduleIn(random_.jittered(backoff, kBackoffJitter));
}

}  // namespace covewing::config
