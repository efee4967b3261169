#include "engine_routing/machine_list_watch.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/codec.h"

namespace covewing::engine_routing {

namespace {

constexpr std::uint32_t kRecordFields = 8;
/// Entries of removed machines are retained for as long as records about them may still be in
/// transit.
constexpr base::Duration kRemovedRetention = std::chrono::minutes(30);

}  // namespace

std::string encodeMachineRecord(const MachineRecord& record) {
  const clients::Machine& machine = record.machine;
  base::Writer writer;
  writer.array(kRecordFields)
      .boolean(record.removed)
      .unsignedInteger(static_cast<std::uint64_t>(machine.kind))
      .unsignedInteger(static_cast<std::uint64_t>(machine.state))
      .unsignedInteger(machine.endpoint.address)
      .unsignedInteger(machine.endpoint.port)
      .text(machine.zone)
      .text(machine.region)
      .text(machine.application);
  return writer.take();
}

std::optional<MachineRecord> decodeMachineRecord(std::string_view bytes) {
  base::Reader reader(bytes);
  if (reader.beginArray() != kRecordFields) return std::nullopt;
  MachineRecord record;
  clients::Machine& machine = record.machine;
  record.removed = reader.boolean();
  const auto kind = reader.unsignedInteger();
  const auto state = reader.unsignedInteger();
  machine.endpoint.address = static_cast<std::uint32_t>(reader.unsignedInteger());
  machine.endpoint.port = static_cast<std::uint16_t>(reader.unsignedInteger());
  machine.zone = reader.text();
  machine.region = reader.text();
  machine.application = reader.text();
  reader.endArray();
  if (!reader.ok()) return std::nullopt;
  if (kind > static_cast<std::uint64_t>(clients::MachineKind::kKeptCacheStore)) {
    return std::nullopt;
  }
  if (state > static_cast<std::uint64_t>(clients::MachineState::kLeaving)) return std::nullopt;
  machine.kind = static_cast<clients::MachineKind>(kind);
  machine.state = static_cast<clients::MachineState>(state);
  return record;
}

MachineListWatch::MachineListWatch(MachineListWatchOptions options,
                                   MachineListWatchEnvironment environment,
                                   MachineObserver& observer)
    : options_(options), environment_(environment), observer_(observer) {}

void MachineListWatch::start() {
  environment_.records.subscribe(
      std::string(kMachineRecordPrefix),
      [this, alive = std::weak_ptr(lifetime_)](const membership::GossipRecord& record) {
        if (!alive.expired()) onRecord(record);
      });
  read();
}

// --- reading

void MachineListWatch::read() {
  environment_.machines.fetch([this, alive = std::weak_ptr(lifetime_)](
                                  const std::optional<std::vector<clients::Machine>>& list) {
    if (alive.expired()) return;
    if (list) onList(*list);
    scheduleRead();
  });
}

void MachineListWatch::scheduleRead() {
  environment_.timers.schedule(readDelay(), [this, alive = std::weak_ptr(lifetime_)] {
    if (!alive.expired()) read();
  });
}

base::Duration MachineListWatch::readDelay() {
  const auto nodes = std::max<std::size_t>(1, environment_.members.liveMembers().size());
  const auto interval = options_.fleetInterval * static_cast<base::Duration::rep>(nodes);
  if (!hasReadList_ || interval <= options_.minimumInterval) {
    return environment_.random.jittered(options_.minimumInterval, options_.jitter);
  }
  // The time is drawn from the whole range, so that reads are spread out even after all nodes start
  // at the same time.
  return environment_.random.jittered(interval, 1.0);
}

void MachineListWatch::onList(const std::vector<clients::Machine>& machines) {
  std::set<std::string_view> listed;
  for (const auto& machine : machines) {
    listed.insert(machine.name);
    onListed(machine);
  }
  const auto now = environment_.clock.now();
  for (auto position = entries_.begin(); position != entries_.end();) {
    Entry& entry = position->second;
    if (!entry.removed && !listed.contains(position->first)) onMissing(entry);
    const bool discard =
        entry.removed && (!entry.recordAt || now - *entry.recordAt > kRemovedRetention);
    position = discard ? entries_.erase(position) : std::next(position);
  }
  hasReadList_ = true;
}

void MachineListWatch::onListed(const clients::Machine& machine) {
  const auto [position, added] = entries_.try_emplace(machine.name);
  Entry& entry = position->second;
  const bool changed = added || entry.removed || entry.machine != machine;
  if (!changed || recordIsRecent(entry)) return;
  entry.machine = machine;
  entry.removed = false;
  if (hasReadList_) publish(entry);
  observer_.onMachine(entry.machine);
}

void MachineListWatch::onMissing(Entry& entry) {
  if (recordIsRecent(entry)) return;
  entry.removed = true;
  if (hasReadList_) publish(entry);
  observer_.onMachineRemoved(entry.machine);
}

bool MachineListWatch::recordIsRecent(const Entry& entry) const {
  return entry.recordAt && environment_.clock.now() - *entry.recordAt < options_.recordPrecedence;
}

// --- records

void MachineListWatch::publish(Entry& entry) {
  std::string value = encodeMachineRecord({entry.machine, entry.removed});
  if (value.size() > membership::RecordDissemination::kMaximumValue) return;
  std::string key = std::string(kMachineRecordPrefix) + entry.machine.name;
  const auto before = environment_.records.find(key);
  if (before) entry.recordVersion = std::max(entry.recordVersion, before->version);
  ++entry.recordVersion;
  entry.recordAt = environment_.clock.now();
  environment_.records.publish({std::move(key), entry.recordVersion, std::move(value)});
}

void MachineListWatch::onRecord(const membership::GossipRecord& record) {
  auto received = decodeMachineRecord(record.value);
  if (!received) return;
  received->machine.name = record.key.substr(kMachineRecordPrefix.size());
  Entry& entry = entries_[received->machine.name];
  if (record.version <= entry.recordVersion) return;
  entry.recordVersion = record.version;
  entry.recordAt = environment_.clock.now();
  if (entry.machine == received->machine && entry.removed == received->removed) return;
  entry.machine = std::move(received->machine);
  entry.removed = received->removed;
  if (entry.removed) {
    observer_.onMachineRemoved(entry.machine);
  } else {
    observer_.onMachine(entry.machine);
  }
}

}  // namespace covewing::engine_routing
