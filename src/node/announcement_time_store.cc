#include "node/announcement_time_store.h"

#include <algorithm>
#include <utility>

#include "base/codec.h"

namespace covewing::node {

namespace {

constexpr int kMaximumWriteAttempts = 6;
constexpr int kMaximumReads = 7;
/// Other nodes replace lost ones within about a second; responsibility is checked for twice that
/// time and some margin.
constexpr int kResponsibilityChecks = 5;
constexpr base::Duration kResponsibilityInterval = std::chrono::milliseconds(600);
constexpr base::Duration kRetryInterval = std::chrono::milliseconds(300);
/// The delay before the next read doubles with each attempt.
base::Duration retryDelayAfter(int attempts) { return kRetryInterval * (1 << (attempts - 1)); }
/// Maximum number of versions in a row: more than can be announced within the transition period of
/// one version.
constexpr std::size_t kMaximumVersions = 8;
constexpr std::uint32_t kFieldCount = 2;

std::string keyOf(const std::string& model) { return "weights-named/" + model; }

struct AnnouncedVersion {
  base::WeightsVersion version = 0;
  /// Announcement time by the table service's clock.
  base::Duration announcedAt{};
};

/// The recently announced versions of a model, ascending.
using AnnouncementRow = std::vector<AnnouncedVersion>;

std::string encode(const AnnouncementRow& row) {
  base::Writer writer;
  writer.array(static_cast<std::uint32_t>(row.size()));
  for (const AnnouncedVersion& announced : row)
    writer.array(kFieldCount)
        .unsignedInteger(announced.version)
        .signedInteger(announced.announcedAt.count());
  return writer.take();
}

std::optional<AnnouncementRow> decode(std::string_view value) {
  base::Reader reader(value);
  AnnouncementRow row;
  const auto count = reader.beginArray();
  for (std::uint32_t index = 0; index < count && reader.ok(); ++index) {
    reader.beginArray();
    AnnouncedVersion announced;
    announced.version = reader.unsignedInteger();
    announced.announcedAt = base::Duration{reader.signedInteger()};
    reader.endArray();
    row.push_back(announced);
  }
  if (!reader.ok() || row.empty()) return std::nullopt;
  return row;
}

/// The announcement times in a reply; empty if it has none.
std::optional<AnnouncementRow> rowIn(const clients::TableReply& reply) {
  return reply.rows.empty() ? std::nullopt : decode(reply.rows.front().value);
}

/// The ages of the versions in the reply at `now`, the current time of the service's clock.
std::vector<VersionAge> agesIn(const clients::TableReply& reply,
                               std::optional<base::Duration> now) {
  std::vector<VersionAge> ages;
  const auto announcements = rowIn(reply);
  if (!announcements || !now) return ages;
  for (const AnnouncedVersion& announced : *announcements) {
    // A time in the future was written by an earlier incarnation of the service's clock. If such a
    // version were taken as announced just now, its predecessor would get its whole transition
    // period again.
    if (announced.announcedAt <= *now)
      ages.push_back({announced.version, *now - announced.announcedAt});
  }
  return ages;
}

}  // namespace

struct AnnouncementTimeStore::PendingWrite {
  std::string model;
  AnnouncedVersion announced;
  /// The other versions in the row, and the revision of the row.
  AnnouncementRow existing;
  base::Revision expected = 0;
  int attempts = 0;
};

struct AnnouncementTimeStore::PendingLookUp {
  std::string model;
  base::WeightsVersion version = 0;
  Callback callback;
  int attempts = 0;
  base::TimePoint sentAt{};
  bool absenceReported = false;
};

void AnnouncementTimeStore::write(const std::string& model, base::WeightsVersion version,
                                  base::Duration age) {
  if (const auto prepared = prepare(model, version, age)) attempt(prepared);
}

void AnnouncementTimeStore::writeWhenResponsible(const std::string& model,
                                                 base::WeightsVersion version, base::Duration age) {
  if (const auto prepared = prepare(model, version, age))
    checkResponsibility(prepared, kResponsibilityChecks);
}

std::shared_ptr<AnnouncementTimeStore::PendingWrite> AnnouncementTimeStore::prepare(
    const std::string& model, base::WeightsVersion version, base::Duration age) const {
  const auto now = serviceClock_();
  if (!now) return nullptr;
  auto write = std::make_shared<PendingWrite>();
  write->model = model;
  write->announced = {version, *now - age};
  return write;
}

void AnnouncementTimeStore::checkResponsibility(const std::shared_ptr<PendingWrite>& write,
                                                int remainingChecks) {
  if (responsible_(remainingChecks == 0)) return attempt(write);
  if (remainingChecks == 0) return;
  timers_.schedule(kResponsibilityInterval,
                   [this, write, remainingChecks, alive = std::weak_ptr(lifetime_)] {
                     if (!alive.expired()) checkResponsibility(write, remainingChecks - 1);
                   });
}

void AnnouncementTimeStore::attempt(const std::shared_ptr<PendingWrite>& write) {
  if (++write->attempts > kMaximumWriteAttempts) return;
  AnnouncementRow row = write->existing;
  row.insert(
      std::ranges::lower_bound(row, write->announced.version, {}, &AnnouncedVersion::version),
      write->announced);
  if (row.size() > kMaximumVersions) row.erase(row.begin());
  clients::TableTransaction transaction;
  transaction.conditions = {{keyOf(write->model), write->expected}};
  transaction.writes = {{keyOf(write->model), encode(row)}};
  table_.commit(std::move(transaction),
                [this, write, alive = std::weak_ptr(lifetime_)](const clients::TableReply& reply) {
                  if (!alive.expired()) onWritten(write, reply);
                });
}

void AnnouncementTimeStore::onWritten(const std::shared_ptr<PendingWrite>& write,
                                      const clients::TableReply& reply) {
  if (reply.status == clients::TableStatus::kOk) return;
  if (reply.status != clients::TableStatus::kConflict) {
    timers_.schedule(kRetryInterval, [this, write, alive = std::weak_ptr(lifetime_)] {
      if (!alive.expired()) attempt(write);
    });
    return;
  }
  write->existing = rowIn(reply).value_or(AnnouncementRow{});
  const auto recorded =
      std::ranges::find(write->existing, write->announced.version, &AnnouncedVersion::version);
  if (recorded != write->existing.end()) {
    // The earlier time comes from the node with better information.
    if (recorded->announcedAt <= write->announced.announcedAt) return;
    write->existing.erase(recorded);
  }
  write->expected = reply.rows.empty() ? 0 : reply.rows.front().revision;
  attempt(write);
}

void AnnouncementTimeStore::lookUp(const std::string& model, base::WeightsVersion version,
                                   Callback callback) {
  attempt(std::make_shared<PendingLookUp>(PendingLookUp{model, version, std::move(callback)}));
}

void AnnouncementTimeStore::attempt(const std::shared_ptr<PendingLookUp>& lookUp) {
  if (++lookUp->attempts > kMaximumReads) return;
  lookUp->sentAt = clock_.now();
  table_.read({keyOf(lookUp->model)},
              [this, lookUp, alive = std::weak_ptr(lifetime_)](const clients::TableReply& reply) {
                if (!alive.expired()) onRead(lookUp, reply);
              });
}

std::optional<base::Duration> AnnouncementTimeStore::latestServiceTime(
    const clients::TableReply& reply, base::TimePoint sentAt) const {
  // This node's estimate of the service's clock lags by the time that a reply was in flight: ages
  // computed with it were up to 0.8 s too small. The reply was made after its call was sent, so the
  // elapsed time since then gives the latest possible service time.
  if (reply.serviceTime) return *reply.serviceTime + (clock_.now() - sentAt);
  return serviceClock_();
}

void AnnouncementTimeStore::onRead(const std::shared_ptr<PendingLookUp>& lookUp,
                                   const clients::TableReply& reply) {
  const auto ages = agesIn(reply, latestServiceTime(reply, lookUp->sentAt));
  if (!ages.empty() && ages.back().version >= lookUp->version) {
    lookUp->callback(ages);
    return;
  }
  const bool absent = reply.status == clients::TableStatus::kOk;
  if (absent && !std::exchange(lookUp->absenceReported, true)) lookUp->callback({});
  // The row is not written yet, or it cannot be read at present.
  timers_.schedule(retryDelayAfter(lookUp->attempts),
                   [this, lookUp, alive = std::weak_ptr(lifetime_)] {
                     if (!alive.expired()) attempt(lookUp);
                   });
}

}  // namespace covewing::node
