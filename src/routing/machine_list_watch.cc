#include "routing/machine_list_watch.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/codec.h"

namespace covewing::routing {

namespace {

constexpr std::uint32_t kRecordFields = 8;
/// Machines that are gone stay known for as long as records about them may still be on their way.
constexpr base::Duration kGoneMemory = std::chrono::minutes(30);

}  // namespace

std::string encodeMachineRecord(const MachineRecord& record) {
  const clients::Machine& machine = record.machine;
  base::Writer writer;
  writer.array(kRecordFields)
      .boolean(record.gone)
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
  record.gone = reader.boolean();
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
  environment_.timers.schedule(pause(), [this, alive = std::weak_ptr(lifetime_)] {
    if (!alive.expired()) read();
  });
}

base::Duration MachineListWatch::pause() {
  const auto nodes = std::max<std::size_t>(1, environment_.members.liveMembers().size());
  const auto interval = options_.fleetInterval * static_cast<base::Duration::rep>(nodes);
  if (!known_ || interval <= options_.minimumInterval) {
    return environment_.random.jittered(options_.minimumInterval, options_.jitter);
  }
  // At any time from now on, also after a start of all nodes at once.
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
    if (!entry.gone && !listed.contains(position->first)) onMissing(entry);
    const bool forgotten = entry.gone && (!entry.toldAt || now - *entry.toldAt > kGoneMemory);
    position = forgotten ? entries_.erase(position) : std::next(position);
  }
  known_ = true;
}

void MachineListWatch::onListed(const clients::Machine& machine) {
  const auto [position, added] = entries_.try_emplace(machine.name);
  Entry& entry = position->second;
  const bool changed = added || entry.gone || entry.machine != machine;
  if (!changed || toldLately(entry)) return;
  entry.machine = machine;
  entry.gone = false;
  if (known_) publish(entry);
  observer_.onMachine(entry.machine);
}

void MachineListWatch::onMissing(Entry& entry) {
  if (toldLately(entry)) return;
  entry.gone = true;
  if (known_) publish(entry);
  observer_.onMachineGone(entry.machine);
}

bool MachineListWatch::toldLately(const Entry& entry) const {
  return entry.toldAt && environment_.clock.now() - *entry.toldAt < options_.recordWinsFor;
}

// --- records

void MachineListWatch::publish(Entry& entry) {
  std::string value = encodeMachineRecord({entry.machine, entry.gone});
  if (value.size() > membership::RecordDissemination::kMaximumValue) return;
  std::string key = std::string(kMachineRecordPrefix) + entry.machine.name;
  const auto before = environment_.records.find(key);
  if (before) entry.recordVersion = std::max(entry.recordVersion, before->version);
  ++entry.recordVersion;
  entry.toldAt = environment_.clock.now();
  environment_.records.publish({std::move(key), entry.recordVersion, std::move(value)});
}

void MachineListWatch::onRecord(const membership::GossipRecord& record) {
  auto told = decodeMachineRecord(record.value);
  if (!told) return;
  told->machine.name = record.key.substr(kMachineRecordPrefix.size());
  Entry& entry = entries_[told->machine.name];
  if (record.version <= entry.recordVersion) return;
  entry.recordVersion = record.version;
  entry.toldAt = environment_.clock.now();
  if (entry.machine == told->machine && entry.gone == told->gone) return;
  entry.machine = std::move(told->machine);
  entry.gone = told->gone;
  if (entry.gone) {
    observer_.onMachineGone(entry.machine);
  } else {
    observer_.onMachine(entry.machine);
  }
}

}  // namespace covewing::routing
