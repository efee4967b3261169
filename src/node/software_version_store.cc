#include "node/software_version_store.h"

#include <algorithm>
#include <utility>

#include "base/codec.h"
#include "membership/rendezvous.h"

namespace covewing::node {

namespace {

constexpr base::Duration kCheckInterval = std::chrono::milliseconds(500);
/// Number of nodes that write the row of a service.
constexpr std::size_t kWriters = 2;
/// Versions that are gone for longer are left out. Longer than any stream lasts.
constexpr base::Duration kRetention = std::chrono::minutes(10);
constexpr std::uint32_t kFieldCount = 2;
/// Encodes that a version is listed; no time of the service's clock is negative.
constexpr std::int64_t kListed = -1;

std::string keyOf(const std::string& service) { return "software-versions/" + service; }

}  // namespace

SoftwareVersionStore::~SoftwareVersionStore() { environment_.timers.cancel(timer_); }

std::string SoftwareVersionStore::encode(const Versions& versions) {
  base::Writer writer;
  writer.array(static_cast<std::uint32_t>(versions.size()));
  for (const auto& version : versions) {
    writer.array(kFieldCount).text(version.name);
    writer.signedInteger(version.goneAt ? version.goneAt->count() : kListed);
  }
  return writer.take();
}

std::optional<SoftwareVersionStore::Versions> SoftwareVersionStore::decode(std::string_view value) {
  base::Reader reader(value);
  Versions versions;
  const auto count = reader.beginArray();
  for (std::uint32_t index = 0; index < count && reader.ok(); ++index) {
    reader.beginArray();
    Version version;
    version.name = reader.text();
    const auto goneAt = reader.signedInteger();
    if (goneAt != kListed) version.goneAt = base::Duration{goneAt};
    reader.endArray();
    versions.push_back(std::move(version));
  }
  if (!reader.ok()) return std::nullopt;
  return versions;
}

void SoftwareVersionStore::start() { check(); }

void SoftwareVersionStore::check() {
  for (const auto& service : environment_.versions.services()) compare(service);
  timer_ = environment_.timers.schedule(kCheckInterval, [this] { check(); });
}

bool SoftwareVersionStore::isWriter(const std::string& service) const {
  return membership::isAmongRendezvousHomes(base::hashName(keyOf(service)), environment_.members,
                                            kWriters,
                                            [](const membership::Member&) { return true; });
}

void SoftwareVersionStore::compare(const std::string& service) {
  const auto listed = environment_.versions.listed(service, environment_.clock.now());
  const auto now = environment_.serviceClock();
  if (listed.empty() || !now || !isWriter(service)) return;
  auto& known = known_[service];
  if (known.writing) return;
  Versions versions;
  for (const auto& name : listed) versions.push_back({name, std::nullopt});
  bool changed = false;
  for (const auto& version : known.versions) {
    if (std::ranges::find(listed, version.name) != listed.end()) continue;
    if (!version.goneAt) changed = true;
    const auto goneAt = version.goneAt.value_or(*now);
    if (goneAt + kRetention > *now) versions.push_back({version.name, goneAt});
  }
  for (const auto& name : listed) {
    const auto stored = std::ranges::find(known.versions, name, &Version::name);
    changed = changed || stored == known.versions.end() || stored->goneAt;
  }
  if (changed) write(service, std::move(versions));
}

void SoftwareVersionStore::write(const std::string& service, Versions versions) {
  auto& known = known_[service];
  known.writing = true;
  clients::TableTransaction transaction;
  transaction.conditions = {{keyOf(service), known.revision}};
  transaction.writes = {{keyOf(service), encode(versions)}};
  environment_.table.commit(std::move(transaction),
                            [this, service, versions = std::move(versions),
                             alive = std::weak_ptr(lifetime_)](const clients::TableReply& reply) {
                              if (!alive.expired()) onWritten(service, versions, reply);
                            });
}

void SoftwareVersionStore::onWritten(const std::string& service, const Versions& written,
                                     const clients::TableReply& reply) {
  auto& known = known_[service];
  known.writing = false;
  if (reply.status == clients::TableStatus::kOk) {
    known.versions = written;
    known.revision = reply.revision;
  } else if (reply.status == clients::TableStatus::kConflict) {
    const auto stored = reply.rows.empty() ? std::nullopt : decode(reply.rows.front().value);
    known.versions = stored.value_or(Versions{});
    known.revision = reply.rows.empty() ? 0 : reply.rows.front().revision;
  }
  // After any other status the next check writes again; its condition shows what became of this.
}

std::optional<std::string> SoftwareVersionStore::soleVersion(const Versions& versions,
                                                             base::Duration since) {
  const Version* sole = nullptr;
  for (const auto& version : versions) {
    if (version.goneAt && *version.goneAt < since) continue;
    if (sole != nullptr) return std::nullopt;
    sole = &version;
  }
  if (sole == nullptr) return std::nullopt;
  return sole->name;
}

void SoftwareVersionStore::findSoleVersion(const std::string& service, base::Duration age,
                                           Callback found) {
  const auto callback = std::make_shared<Callback>(std::move(found));
  const auto answer = [callback](const std::optional<std::string>& version) {
    if (const auto once = std::exchange(*callback, nullptr)) once(version);
  };
  environment_.timers.schedule(kReadTimeout, [answer] { answer(std::nullopt); });
  environment_.table.read({keyOf(service)}, [this, age, answer, alive = std::weak_ptr(lifetime_)](
                                                const clients::TableReply& reply) {
    if (alive.expired()) return;
    const auto now = reply.serviceTime ? reply.serviceTime : environment_.serviceClock();
    const auto stored = reply.status == clients::TableStatus::kOk && !reply.rows.empty()
                            ? decode(reply.rows.front().value)
                            : std::nullopt;
    answer(stored && now ? soleVersion(*stored, *now - age) : std::nullopt);
  });
}

}  // namespace covewing::node
