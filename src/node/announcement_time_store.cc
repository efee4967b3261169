#include "node/announcement_time_store.h"

#include <algorithm>
#include <utility>

#include "base/codec.h"

namespace covewing::node {

namespace {

constexpr int kAttempts = 6;
constexpr int kReads = 7;
/// Others take the place of lost nodes within about a second; twice that and some margin is looked.
constexpr int kResponsibilityChecks = 5;
constexpr base::Duration kResponsibilityInterval = std::chrono::milliseconds(600);
constexpr base::Duration kRetry = std::chrono::milliseconds(300);
/// The pause before the next read doubles with each one.
base::Duration pauseAfter(int attempts) { return kRetry * (1 << (attempts - 1)); }
/// Versions kept in a row: more than can be named within the time that one has.
constexpr std::size_t kKept = 8;
constexpr std::uint32_t kFields = 2;

std::string keyOf(const std::string& model) { return "weights-named/" + model; }

struct NamedVersion {
  base::WeightsVersion version = 0;
  /// By the table service's clock.
  base::Duration namedAt{};
};

/// The versions named lately, ascending.
using DateRow = std::vector<NamedVersion>;

std::string encode(const DateRow& row) {
  base::Writer writer;
  writer.array(static_cast<std::uint32_t>(row.size()));
  for (const NamedVersion& named : row)
    writer.array(kFields).unsignedInteger(named.version).signedInteger(named.namedAt.count());
  return writer.take();
}

std::optional<DateRow> decode(std::string_view value) {
  base::Reader reader(value);
  DateRow row;
  const auto count = reader.beginArray();
  for (std::uint32_t index = 0; index < count && reader.ok(); ++index) {
    reader.beginArray();
    NamedVersion named;
    named.version = reader.unsignedInteger();
    named.namedAt = base::Duration{reader.signedInteger()};
    reader.endArray();
    row.push_back(named);
  }
  if (!reader.ok() || row.empty()) return std::nullopt;
  return row;
}

/// The dates in a reply; empty when there are none.
std::optional<DateRow> dateIn(const clients::TableReply& reply) {
  return reply.rows.empty() ? std::nullopt : decode(reply.rows.front().value);
}

/// The ages of the versions that the reply dates, by the service's clock now.
std::vector<VersionAge> agesIn(const clients::TableReply& reply,
                               std::optional<base::Duration> now) {
  std::vector<VersionAge> ages;
  const auto dates = dateIn(reply);
  if (!dates || !now) return ages;
  for (const NamedVersion& named : *dates) {
    // Written by another run of the service's clock. Taken for a version named just now, it would
    // give the older weights their whole time again.
    if (named.namedAt <= *now) ages.push_back({named.version, *now - named.namedAt});
  }
  return ages;
}

}  // namespace

struct AnnouncementTimeStore::Write {
  std::string model;
  NamedVersion named;
  /// What the row holds besides, and its revision.
  DateRow before;
  base::Revision expected = 0;
  int attempts = 0;
};

struct AnnouncementTimeStore::LookUp {
  std::string model;
  base::WeightsVersion version = 0;
  Found found;
  int attempts = 0;
  base::TimePoint sentAt{};
  bool absenceTold = false;
};

void AnnouncementTimeStore::write(const std::string& model, base::WeightsVersion version,
                                  base::Duration age) {
  if (const auto prepared = prepare(model, version, age)) step(prepared);
}

void AnnouncementTimeStore::writeWhenResponsible(const std::string& model,
                                                 base::WeightsVersion version, base::Duration age) {
  if (const auto prepared = prepare(model, version, age)) check(prepared, kResponsibilityChecks);
}

std::shared_ptr<AnnouncementTimeStore::Write> AnnouncementTimeStore::prepare(
    const std::string& model, base::WeightsVersion version, base::Duration age) const {
  const auto now = serviceClock_();
  if (!now) return nullptr;
  auto write = std::make_shared<Write>();
  write->model = model;
  write->named = {version, *now - age};
  return write;
}

void AnnouncementTimeStore::check(const std::shared_ptr<Write>& write, int checksLeft) {
  if (responsible_(checksLeft == 0)) return step(write);
  if (checksLeft == 0) return;
  timers_.schedule(kResponsibilityInterval,
                   [this, write, checksLeft, alive = std::weak_ptr(lifetime_)] {
                     if (!alive.expired()) check(write, checksLeft - 1);
                   });
}

void AnnouncementTimeStore::step(const std::shared_ptr<Write>& write) {
  if (++write->attempts > kAttempts) return;
  DateRow row = write->before;
  row.insert(std::ranges::lower_bound(row, write->named.version, {}, &NamedVersion::version),
             write->named);
  if (row.size() > kKept) row.erase(row.begin());
  clients::TableTransaction transaction;
  transaction.conditions = {{keyOf(write->model), write->expected}};
  transaction.writes = {{keyOf(write->model), encode(row)}};
  table_.commit(std::move(transaction),
                [this, write, alive = std::weak_ptr(lifetime_)](const clients::TableReply& reply) {
                  if (!alive.expired()) onWritten(write, reply);
                });
}

void AnnouncementTimeStore::onWritten(const std::shared_ptr<Write>& write,
                                      const clients::TableReply& reply) {
  if (reply.status == clients::TableStatus::kOk) return;
  if (reply.status != clients::TableStatus::kConflict) {
    timers_.schedule(kRetry, [this, write, alive = std::weak_ptr(lifetime_)] {
      if (!alive.expired()) step(write);
    });
    return;
  }
  write->before = dateIn(reply).value_or(DateRow{});
  const auto dated = std::ranges::find(write->before, write->named.version, &NamedVersion::version);
  if (dated != write->before.end()) {
    // The earlier date is that of who knew more.
    if (dated->namedAt <= write->named.namedAt) return;
    write->before.erase(dated);
  }
  write->expected = reply.rows.empty() ? 0 : reply.rows.front().revision;
  step(write);
}

void AnnouncementTimeStore::lookUp(const std::string& model, base::WeightsVersion version,
                                   Found found) {
  step(std::make_shared<LookUp>(LookUp{model, version, std::move(found)}));
}

void AnnouncementTimeStore::step(const std::shared_ptr<LookUp>& lookUp) {
  if (++lookUp->attempts > kReads) return;
  lookUp->sentAt = clock_.now();
  table_.read({keyOf(lookUp->model)},
              [this, lookUp, alive = std::weak_ptr(lifetime_)](const clients::TableReply& reply) {
                if (!alive.expired()) onRead(lookUp, reply);
              });
}

std::optional<base::Duration> AnnouncementTimeStore::latestServiceTime(
    const clients::TableReply& reply, base::TimePoint sentAt) const {
  // What the node makes of the service's clock is late by the time that an answer was under way: an
  // age reckoned with it was up to 0.8 s too small. The reply was made after its call was sent.
  if (reply.serviceTime) return *reply.serviceTime + (clock_.now() - sentAt);
  return serviceClock_();
}

void AnnouncementTimeStore::onRead(const std::shared_ptr<LookUp>& lookUp,
                                   const clients::TableReply& reply) {
  const auto ages = agesIn(reply, latestServiceTime(reply, lookUp->sentAt));
  if (!ages.empty() && ages.back().version >= lookUp->version) {
    lookUp->found(ages);
    return;
  }
  const bool absent = reply.status == clients::TableStatus::kOk;
  if (absent && !std::exchange(lookUp->absenceTold, true)) lookUp->found({});
  // Not there yet, or not readable now.
  timers_.schedule(pauseAfter(lookUp->attempts), [this, lookUp, alive = std::weak_ptr(lifetime_)] {
    if (!alive.expired()) step(lookUp);
  });
}

}  // namespace covewing::node
