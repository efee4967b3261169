#include "node/weights_dates.h"

#include <utility>

#include "base/codec.h"

namespace covewing::node {

namespace {

constexpr int kAttempts = 6;
constexpr base::Duration kRetry = std::chrono::milliseconds(300);
constexpr std::uint32_t kFields = 2;

std::string keyOf(const std::string& model) { return "weights-named/" + model; }

struct DateRow {
  base::WeightsVersion version = 0;
  /// By the table service's clock.
  base::Duration namedAt{};
};

std::string encode(const DateRow& row) {
  base::Writer writer;
  writer.array(kFields).unsignedInteger(row.version).signedInteger(row.namedAt.count());
  return writer.take();
}

std::optional<DateRow> decode(std::string_view value) {
  base::Reader reader(value);
  reader.beginArray();
  DateRow row;
  row.version = reader.unsignedInteger();
  row.namedAt = base::Duration{reader.signedInteger()};
  if (!reader.ok()) return std::nullopt;
  return row;
}

/// The row of the date in a reply; empty when there is none.
std::optional<DateRow> dateIn(const clients::TableReply& reply) {
  return reply.rows.empty() ? std::nullopt : decode(reply.rows.front().value);
}

}  // namespace

struct WeightsDates::Write {
  std::string model;
  DateRow row;
  base::Revision expected = 0;
  int attempts = 0;
};

struct WeightsDates::LookUp {
  std::string model;
  base::WeightsVersion version = 0;
  Found found;
  int attempts = 0;
};

void WeightsDates::write(const std::string& model, base::WeightsVersion version) {
  const auto now = serviceClock_();
  if (!now) return;
  step(std::make_shared<Write>(Write{model, {version, *now}}));
}

void WeightsDates::step(const std::shared_ptr<Write>& write) {
  if (++write->attempts > kAttempts) return;
  clients::TableTransaction transaction;
  transaction.conditions = {{keyOf(write->model), write->expected}};
  transaction.writes = {{keyOf(write->model), encode(write->row)}};
  table_.commit(std::move(transaction),
                [this, write, alive = std::weak_ptr(lifetime_)](const clients::TableReply& reply) {
                  if (alive.expired() || reply.status == clients::TableStatus::kOk) return;
                  if (reply.status != clients::TableStatus::kConflict) {
                    timers_.schedule(kRetry, [this, write, alive] {
                      if (!alive.expired()) step(write);
                    });
                    return;
                  }
                  const auto known = dateIn(reply);
                  if (known && known->version >= write->row.version) return;
                  write->expected = reply.rows.empty() ? 0 : reply.rows.front().revision;
                  step(write);
                });
}

void WeightsDates::lookUp(const std::string& model, base::WeightsVersion version, Found found) {
  step(std::make_shared<LookUp>(LookUp{model, version, std::move(found)}));
}

void WeightsDates::step(const std::shared_ptr<LookUp>& lookUp) {
  if (++lookUp->attempts > kAttempts) return;
  table_.read({keyOf(lookUp->model)},
              [this, lookUp, alive = std::weak_ptr(lifetime_)](const clients::TableReply& reply) {
                if (!alive.expired()) onRead(lookUp, reply);
              });
}

void WeightsDates::onRead(const std::shared_ptr<LookUp>& lookUp, const clients::TableReply& reply) {
  const auto date = dateIn(reply);
  const auto now = serviceClock_();
  if (date && now && date->version >= lookUp->version) {
    if (date->version == lookUp->version)
      lookUp->found(std::max(*now - date->namedAt, base::Duration::zero()));
    return;
  }
  // Not there yet, or not readable now.
  timers_.schedule(kRetry, [this, lookUp, alive = std::weak_ptr(lifetime_)] {
    if (!alive.expired()) step(lookUp);
  });
}

}  // namespace covewing::node
