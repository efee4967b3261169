#include "emulator/machine_list_model.h"

#include <utility>

namespace covewing::emulator {

void MachineListModel::addInitial(clients::Machine machine) {
  std::string name = machine.name;
  visible_.insert_or_assign(std::move(name), std::move(machine));
}

void MachineListModel::update(clients::Machine machine) {
  std::string name = machine.name;
  record(std::move(name), std::move(machine));
}

void MachineListModel::remove(const std::string& name) { record(name, std::nullopt); }

void MachineListModel::record(std::string name, std::optional<clients::Machine> machine) {
  const base::TimePoint visibleAt =
      clock_.now() + random_.jittered(options_.lag, options_.lagJitter);
  pending_.push_back(Change{visibleAt, std::move(name), std::move(machine)});
}

std::vector<clients::Machine> MachineListModel::visible() {
  while (!pending_.empty() && pending_.front().visibleAt <= clock_.now()) {
    Change& change = pending_.front();
    visible_.erase(change.name);
    if (change.machine) visible_.emplace(change.name, *std::move(change.machine));
    pending_.pop_front();
  }
  std::vector<clients::Machine> machines;
  machines.reserve(visible_.size());
  for (const auto& [name, machine] : visible_) machines.push_back(machine);
  return machines;
}

void MachineListModel::fetch(clients::MachineListCallback callback) {
  if (conditions_.isDown() || !conditions_.admit(clock_.now())) {
    timers_.schedule(base::Duration{0},
                     [callback = std::move(callback)] { callback(std::nullopt); });
    return;
  }
  const base::Duration latency = conditions_.drawLatency(random_);
  timers_.schedule(latency, [this, callback = std::move(callback)] { callback(visible()); });
}

}  // namespace covewing::emulator
