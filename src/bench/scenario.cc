#include "bench/scenario.h"

#include <array>
#include <charconv>

namespace covewing::bench {

namespace {

constexpr std::array kSettingKeys = {
    SettingKey{"load", "factor on all request rates", &ScenarioSettings::load},
    SettingKey{"lower_load", "further factor on completions below the highest class",
               &ScenarioSettings::lowerLoad},
    SettingKey{"warmup_s", "seconds before measuring", &ScenarioSettings::warmupSeconds},
    SettingKey{"measured_s", "seconds measured", &ScenarioSettings::measuredSeconds},
    SettingKey{"nodes_per_zone", "covewing nodes in each zone", &ScenarioSettings::nodesPerZone},
    SettingKey{"engines", "model engines", &ScenarioSettings::engines},
    SettingKey{"engine_blocks", "cache blocks of 16 tokens in an engine",
               &ScenarioSettings::engineBlocks},
    SettingKey{"zone_latency_ms", "one-way latency between zones",
               &ScenarioSettings::zoneLatencyMilliseconds},
    SettingKey{"event_loss", "share of cache events lost", &ScenarioSettings::eventLoss},
    SettingKey{"event_delay_ms", "delay of cache events",
               &ScenarioSettings::eventDelayMilliseconds},
    SettingKey{"load_report_ms", "period of load reports",
               &ScenarioSettings::loadReportMilliseconds},
    SettingKey{"kept_cache_blocks", "blocks in the store of kept KV cache; 0: no store",
               &ScenarioSettings::keptCacheBlocks},
    SettingKey{"datagram_loss", "share of datagrams lost", &ScenarioSettings::datagramLoss},
    SettingKey{"shift_after_s", "hot document replaced after so many measured seconds; 0: never",
               &ScenarioSettings::shiftAfterSeconds},
    SettingKey{"crash_every_s", "seconds between engine crashes; 0: none",
               &ScenarioSettings::crashEverySeconds},
    SettingKey{"crash_down_s", "seconds that a crashed engine is away",
               &ScenarioSettings::crashDownSeconds},
    SettingKey{"oracle_compute_weight", "weight of own computation in the oracle's cost",
               &ScenarioSettings::oracleComputeWeight},
    SettingKey{"chunks_per_message", "stream chunks in one network message",
               &ScenarioSettings::chunksPerMessage},
};

constexpr ScenarioSettings kTournaments{};

constexpr ScenarioSettings kMarkets = [] {
  ScenarioSettings settings;
  settings.engines = 10;
  settings.engineBlocks = 5632;
  settings.zoneLatencyMilliseconds = 1.0;
  return settings;
}();

constexpr ScenarioSettings kHotShift = [] {
  ScenarioSettings settings = kTournaments;
  settings.shiftAfterSeconds = 20;
  settings.measuredSeconds = 50;
  return settings;
}();

constexpr ScenarioSettings kEngineCrash = [] {
  ScenarioSettings settings = kTournaments;
  settings.crashEverySeconds = 8;
  return settings;
}();

constexpr ScenarioSettings kEventLoss = [] {
  ScenarioSettings settings = kTournaments;
  settings.eventLoss = 0.3;
  settings.eventDelayMilliseconds = 1000;
  return settings;
}();

constexpr ScenarioSettings kOverload = [] {
  ScenarioSettings settings = kTournaments;
  settings.lowerLoad = 3.9;
  return settings;
}();

constexpr std::array kScenarios = {
    Scenario{"tournaments", "evening peak of the tournament fleet", FleetKind::kTournaments,
             kTournaments},
    Scenario{"markets", "morning peak of the market fleet", FleetKind::kMarkets, kMarkets},
    Scenario{"hot-shift", "tournaments, and tonight's rulebook is replaced by a new one",
             FleetKind::kTournaments, kHotShift},
    Scenario{"engine-crash", "tournaments, and an engine crashes every few seconds",
             FleetKind::kTournaments, kEngineCrash},
    Scenario{"event-loss", "tournaments, with late cache events and a third of them lost",
             FleetKind::kTournaments, kEventLoss},
    Scenario{"overload", "tournaments, and a surge of the lower classes to 150% of capacity",
             FleetKind::kTournaments, kOverload},
};

}  // namespace

std::span<const SettingKey> settingKeys() { return kSettingKeys; }

bool applySetting(ScenarioSettings& settings, std::string_view assignment, base::Reason& reason) {
  const std::size_t equals = assignment.find('=');
  const std::string_view name = assignment.substr(0, equals);
  for (const SettingKey& key : kSettingKeys) {
    if (key.name != name) continue;
    const std::string_view text =
        equals == std::string_view::npos ? std::string_view{} : assignment.substr(equals + 1);
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !(value >= 0)) {
      reason = {base::ResultCode::kInvalidField,
                std::string(name) + ": \"" + std::string(text) + "\" is no number from 0 up"};
      return false;
    }
    settings.*key.member = value;
    return true;
  }
  reason = {base::ResultCode::kInvalidField,
            "no key \"" + std::string(name) + "\"; --list names the keys"};
  return false;
}

std::span<const Scenario> scenarios() { return kScenarios; }

const Scenario* findScenario(std::string_view name) {
  for (const Scenario& scenario : kScenarios) {
    if (scenario.name == name) return &scenario;
  }
  return nullptr;
}

}  // namespace covewing::bench
