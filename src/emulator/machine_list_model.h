/// \file
/// The platform's list of machines. Each change becomes visible to readers after a lag.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "clients/machine_list_client.h"
#include "emulator/service_conditions.h"

namespace covewing::emulator {

struct MachineListOptions {
  ServiceOptions service{.rateLimit = 0.0};
  /// Time from a change to its visibility, with `lagJitter` around it. Changes keep their order.
  base::Duration lag = std::chrono::seconds(2);
  double lagJitter = 0.5;
};

class MachineListModel final : public clients::MachineListClient {
 public:
  MachineListModel(const MachineListOptions& options, const base::Clock& clock,
                   base::TimerService& timers, base::RandomSource& random)
      : options_(options),
        clock_(clock),
        timers_(timers),
        random_(random),
        conditions_(options.service) {}

  /// Visible at once: the machines of the start.
  void addInitial(clients::Machine machine);
  /// Adds or replaces by name, after the lag.
  void update(clients::Machine machine);
  /// Removes, after the lag.
  void remove(const std::string& name);
  void fetch(clients::MachineListCallback callback) override;

  ServiceConditions& conditions() { return conditions_; }
  void setLag(base::Duration lag) { options_.lag = lag; }
  /// What readers see now, ascending by name.
  std::vector<clients::Machine> visible();

 private:
  struct Change {
    base::TimePoint visibleAt;
    std::string name;
    /// Empty: removal.
    std::optional<clients::Machine> machine;
  };
  void record(std::string name, std::optional<clients::Machine> machine);

  MachineListOptions options_;
  const base::Clock& clock_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  ServiceConditions conditions_;
  std::map<std::string, clients::Machine> visible_;
  /// In order; a change waits for those before it.
  std::deque<Change> pending_;
};

}  // namespace covewing::emulator
