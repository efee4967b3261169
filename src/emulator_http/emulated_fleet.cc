#include "emulator_http/emulated_fleet.h"

#include <algorithm>
#include <utility>

#include "emulator_http/application_service.h"
#include "emulator_http/platform_services.h"
#include "emulator_http/wire.h"

namespace covewing::emulator_http {

using base::Reason;
using base::ResultCode;
using emulator::ServiceMode;
using live::HttpExchangePtr;

namespace {

using namespace std::chrono_literals;

/// Interval at which a leaving machine is checked for being idle.
constexpr base::Duration kIdlePollInterval = 20ms;
/// Speed of the weight store in slow mode, relative to its normal speed.
constexpr double kSlowWeightStoreSpeed = 0.1;

double weightStoreSpeed(ServiceMode mode) {
  switch (mode) {
    case ServiceMode::kNormal:
      return 1.0;
    case ServiceMode::kSlow:
      return kSlowWeightStoreSpeed;
    case ServiceMode::kDown:
      return 0.0;
  }
  return 1.0;
}

bool rejectUnknownMachine(std::string_view name, Reason& reason) {
  reason = Reason{ResultCode::kInvalidField, "machine: " + std::string(name)};
  return false;
}

}  // namespace

EmulatedFleet::EmulatedFleet(boost::asio::io_context& context, const EmulatedFleetOptions& options,
                             const base::Clock& clock, base::TimerService& timers)
    : context_(context),
      options_(options),
      clock_(clock),
      timers_(timers),
      fleet_(options.fleet, options.seed, clock, timers),
      log_(clock, options.logCapacity) {
  fleet_.addObserver(log_);
  fleet_.addObserver(census_);
  admin_ = makeHost([this](const HttpExchangePtr& exchange) { handleAdmin(exchange); });
  table_ = makeHost(
      [this](const HttpExchangePtr& exchange) { handleTableCall(fleet_.table(), exchange); });
  objectStore_ = makeHost([this](const HttpExchangePtr& exchange) {
    handleObjectCall(fleet_.objectStore(), exchange);
  });
  machineList_ = makeHost([this](const HttpExchangePtr& exchange) {
    handleMachineListCall(fleet_.machineList(), exchange);
  });
  // Nodes do not call the kept KV cache store; it has a port only because it is in the machine
  // list.
  keptCacheStore_ = makeHost([](const HttpExchangePtr& exchange) {
    exchange->respond(errorResponse(Reason{ResultCode::kUnknownPath, "engines only"}, false));
  });
  addMachines();
}

EmulatedFleet::~EmulatedFleet() {
  for (ServiceHost* host : hosts()) host->stop();
}

std::unique_ptr<ServiceHost> EmulatedFleet::makeHost(live::HttpHandler handler) {
  return std::make_unique<ServiceHost>(context_, std::move(handler));
}

void EmulatedFleet::addMachines() {
  for (const emulator::MachinePlace& place : fleet_.machines()) {
    if (place.kind == clients::MachineKind::kKeptCacheStore) continue;
    auto machine = std::make_unique<HostedMachine>();
    machine->place = place;
    machine->engine = fleet_.findEngine(place.name);
    machine->application = fleet_.findApplication(place.name);
    if (machine->engine != nullptr) {
      machine->service = std::make_unique<EngineService>(*machine->engine);
      EngineService& service = *machine->service;
      machine->host =
          makeHost([&service](const HttpExchangePtr& exchange) { service.handle(exchange); });
    } else {
      emulator::ApplicationModel& application = *machine->application;
      machine->host = makeHost([&application](const HttpExchangePtr& exchange) {
        handleApplicationCall(application, exchange);
      });
    }
    machines_.push_back(std::move(machine));
  }
}

std::vector<ServiceHost*> EmulatedFleet::hosts() {
  std::vector<ServiceHost*> all = {admin_.get(), table_.get(), objectStore_.get(),
                                   machineList_.get(), keptCacheStore_.get()};
  for (const auto& machine : machines_) all.push_back(machine->host.get());
  return all;
}

bool EmulatedFleet::start(Reason& reason) {
  std::uint16_t port = options_.portBase;
  for (ServiceHost* host : hosts()) {
    if (!host->start(base::Endpoint{options_.address, port}, reason)) return false;
    if (port != 0) ++port;
  }
  for (const emulator::MachinePlace& place : fleet_.machines()) {
    const auto endpoint = endpointOf(place.name);
    fleet_.listInitially(place, endpoint.value_or(keptCacheStore_->endpoint()));
  }
  return true;
}

EmulatedFleet::HostedMachine* EmulatedFleet::findMachine(std::string_view name) {
  for (const auto& machine : machines_) {
    if (machine->place.name == name) return machine.get();
  }
  return nullptr;
}

std::optional<base::Endpoint> EmulatedFleet::endpointOf(std::string_view machine) const {
  for (const auto& each : machines_) {
    if (each->place.name == machine) return each->host->endpoint();
  }
  return std::nullopt;
}

std::vector<EmulatedFleet::HostedMachine*> EmulatedFleet::selectMachines(std::string_view pattern) {
  std::vector<HostedMachine*> selected;
  for (const auto& machine : machines_) {
    if (pattern == kAllMachines || machine->place.name == pattern) {
      selected.push_back(machine.get());
    }
  }
  return selected;
}

// --- actions

bool EmulatedFleet::apply(const Action& action, Reason& reason) {
  return std::visit([&](const auto& each) { return perform(each, reason); }, action);
}

void EmulatedFleet::schedule(const std::vector<TimedAction>& scenario) {
  for (const TimedAction& timed : scenario) {
    timers_.schedule(timed.at, [this, action = timed.action] {
      Reason ignored;
      apply(action, ignored);
    });
  }
}

bool EmulatedFleet::perform(const MachineAction& action, Reason& reason) {
  const auto selected = selectMachines(action.machine);
  if (selected.empty()) return rejectUnknownMachine(action.machine, reason);
  return std::all_of(selected.begin(), selected.end(), [&](HostedMachine* machine) {
    return applyVerb(*machine, action.verb, reason);
  });
}

bool EmulatedFleet::applyVerb(HostedMachine& machine, MachineVerb verb, Reason& reason) {
  switch (verb) {
    case MachineVerb::kCrash:
      crash(machine);
      return true;
    case MachineVerb::kRestart:
      return restart(machine, reason);
    case MachineVerb::kLeave:
      leave(machine);
      return true;
    case MachineVerb::kPause:
      machine.engine != nullptr ? machine.engine->pause() : machine.application->pause();
      return true;
    case MachineVerb::kResume:
      machine.engine != nullptr ? machine.engine->resume() : machine.application->resume();
      return true;
  }
  return true;
}

void EmulatedFleet::crash(HostedMachine& machine) {
  machine.exiting = false;
  machine.engine != nullptr ? machine.engine->crash() : machine.application->crash();
  machine.host->stop();
  fleet_.machineList().remove(machine.place.name);
}

bool EmulatedFleet::restart(HostedMachine& machine, Reason& reason) {
  machine.exiting = false;
  machine.engine != nullptr ? machine.engine->crash() : machine.application->crash();
  machine.host->stop();
  if (!machine.host->restart(reason)) return false;
  machine.engine != nullptr ? machine.engine->restart() : machine.application->restart();
  fleet_.list(machine.place, machine.host->endpoint(), clients::MachineState::kLive);
  return true;
}

void EmulatedFleet::leave(HostedMachine& machine) {
  machine.engine != nullptr ? machine.engine->leave() : machine.application->leave();
  fleet_.list(machine.place, machine.host->endpoint(), clients::MachineState::kLeaving);
  machine.exiting = true;
  // The port stays open for a while after the model is idle, so that responses to refused calls can
  // still be sent.
  timers_.schedule(options_.fleet.machineList.lag * 2, [this, &machine] { exitWhenIdle(machine); });
}

void EmulatedFleet::exitWhenIdle(HostedMachine& machine) {
  if (!machine.exiting) return;
  const bool idle =
      machine.engine != nullptr ? machine.engine->isIdle() : machine.application->isIdle();
  if (!idle) {
    timers_.schedule(kIdlePollInterval, [this, &machine] { exitWhenIdle(machine); });
    return;
  }
  crash(machine);
}

bool EmulatedFleet::perform(const CacheEventAction& action, Reason& reason) {
  bool found = false;
  for (HostedMachine* machine : selectMachines(action.machine)) {
    if (machine->engine == nullptr) continue;
    found = true;
    emulator::CacheEventJournal& journal = machine->engine->journal();
    emulator::CacheEventOptions& events = journal.options();
    events.lossRate = action.lossRate.value_or(events.lossRate);
    events.lossBurst = action.lossBurst.value_or(events.lossBurst);
    events.delay = action.delay.value_or(events.delay);
    if (action.loseKept) journal.loseKept();
  }
  return found || rejectUnknownMachine(action.machine, reason);
}

void EmulatedFleet::setConditions(emulator::ServiceConditions& conditions, ServiceHost& host,
                                  const ServiceAction& action) {
  if (action.slowLatency) conditions.setSlowLatency(*action.slowLatency);
  if (action.answerLoss) conditions.setAnswerLoss(*action.answerLoss);
  if (action.loseNextAnswers) conditions.loseNextAnswers(*action.loseNextAnswers);
  if (action.rateLimit) conditions.setRateLimit(*action.rateLimit, *action.rateLimit);
  if (!action.mode) return;
  conditions.setMode(*action.mode);
  Reason ignored;
  if (*action.mode == ServiceMode::kDown) {
    host.stop();
  } else if (!host.isUp()) {
    host.restart(ignored);
  }
}

bool EmulatedFleet::perform(const ServiceAction& action, Reason& /*reason*/) {
  switch (action.service) {
    case Service::kTable:
      setConditions(fleet_.table().conditions(), *table_, action);
      return true;
    case Service::kObjectStore:
      setConditions(fleet_.objectStore().conditions(), *objectStore_, action);
      return true;
    case Service::kMachineList:
      setConditions(fleet_.machineList().conditions(), *machineList_, action);
      if (action.lag) fleet_.machineList().setLag(*action.lag);
      return true;
    case Service::kWeightStore:
      if (action.mode) fleet_.weightStore().setSpeed(weightStoreSpeed(*action.mode));
      return true;
    case Service::kKeptCacheStore:
      if (action.mode) fleet_.keptCacheStore().setDown(*action.mode == ServiceMode::kDown);
      return true;
  }
  return true;
}

bool EmulatedFleet::perform(const ApplicationFaultAction& action, Reason& reason) {
  bool found = false;
  for (HostedMachine* machine : selectMachines(action.machine)) {
    if (machine->application == nullptr) continue;
    found = true;
    machine->application->faults() = action.faults;
  }
  return found || rejectUnknownMachine(action.machine, reason);
}

bool EmulatedFleet::perform(const ListMachineAction& action, Reason& /*reason*/) {
  fleet_.machineList().update(action.machine);
  return true;
}

bool EmulatedFleet::perform(const UnlistMachineAction& action, Reason& /*reason*/) {
  fleet_.machineList().remove(action.machine);
  return true;
}

}  // namespace covewing::emulator_http
