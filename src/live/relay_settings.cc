#include "live/relay_settings.h"

#include <toml++/toml.h>

#include <functional>
#include <span>

namespace covewing::live {

namespace {

constexpr std::string_view kAddressRule = "must be a.b.c.d:port";
constexpr std::string_view kNumberRule = "must be a number of 0 or more";

/// Reads one value into the settings; false when it is not allowed.
using Apply = bool (*)(RelaySettings&, const toml::node&);

struct Entry {
  std::string_view key;
  bool required = true;
  std::string_view rule;
  Apply apply = nullptr;
};

template <std::string RelaySettings::*member>
bool applyText(RelaySettings& settings, const toml::node& node) {
  settings.*member = node.value_or(std::string{});
  return !(settings.*member).empty();
}

std::optional<base::Endpoint> endpointOf(const toml::node& node) {
  const auto endpoint = base::parseEndpoint(node.value_or(std::string{}));
  return endpoint && endpoint->port != 0 ? endpoint : std::nullopt;
}

template <base::Endpoint RelaySettings::*member>
bool applyEndpoint(RelaySettings& settings, const toml::node& node) {
  const auto endpoint = endpointOf(node);
  settings.*member = endpoint.value_or(base::Endpoint{});
  return endpoint.has_value();
}

bool applySeeds(RelaySettings& settings, const toml::node& node) {
  const auto* list = node.as_array();
  if (list == nullptr) return false;
  for (const auto& element : *list) {
    const auto endpoint = endpointOf(element);
    if (!endpoint) return false;
    settings.seeds.push_back(*endpoint);
  }
  return true;
}

template <double RelaySettings::*member>
bool applyNumber(RelaySettings& settings, const toml::node& node) {
  settings.*member = node.value_or(-1.0);
  return settings.*member >= 0;
}

template <base::Duration RelaySettings::*member, std::int64_t microseconds>
bool applyDuration(RelaySettings& settings, const toml::node& node) {
  const double units = node.value_or(-1.0);
  settings.*member = base::Duration{static_cast<std::int64_t>(units * microseconds)};
  return units >= 0;
}

template <bool RelaySettings::*member>
bool applyFlag(RelaySettings& settings, const toml::node& node) {
  const auto flag = node.value<bool>();
  settings.*member = flag.value_or(false);
  return flag.has_value();
}

bool applySeverity(RelaySettings& settings, const toml::node& node) {
  const auto text = node.value_or(std::string{});
  if (text == "info") settings.logSeverity = base::Severity::kInfo;
  if (text == "warning") settings.logSeverity = base::Severity::kWarning;
  if (text == "error") settings.logSeverity = base::Severity::kError;
  return text == "info" || text == "warning" || text == "error";
}

constexpr std::int64_t kMillisecond = 1000;
constexpr std::int64_t kSecond = 1'000'000;

constexpr Entry kSchema[] = {
    {"node.name", true, "must be a text", applyText<&RelaySettings::name>},
    {"node.zone", true, "must be a text", applyText<&RelaySettings::zone>},
    {"node.region", true, "must be a text", applyText<&RelaySettings::region>},
    {"listen.callers", true, kAddressRule, applyEndpoint<&RelaySettings::callerEndpoint>},
    {"listen.readiness", true, kAddressRule, applyEndpoint<&RelaySettings::readinessEndpoint>},
    {"listen.peers", true, kAddressRule, applyEndpoint<&RelaySettings::peerEndpoint>},
    {"listen.metrics", false, kAddressRule, applyEndpoint<&RelaySettings::metricsEndpoint>},
    {"cluster.seeds", false, "must be a list of a.b.c.d:port", applySeeds},
    {"table_service.address", true, kAddressRule, applyEndpoint<&RelaySettings::tableEndpoint>},
    {"bounds.grace_s", false, kNumberRule, applyDuration<&RelaySettings::grace, kSecond>},
    {"bounds.revocation_ms", false, kNumberRule,
     applyDuration<&RelaySettings::revocation, kMillisecond>},
    {"bounds.retry_ratio", false, kNumberRule, applyNumber<&RelaySettings::retryRatio>},
    {"bounds.retry_window_s", false, kNumberRule,
     applyDuration<&RelaySettings::retryWindow, kSecond>},
    {"bounds.retry_slack", false, kNumberRule, applyNumber<&RelaySettings::retrySlack>},
    {"bounds.weights_in_force_ms", false, kNumberRule,
     applyDuration<&RelaySettings::weightsInForce, kMillisecond>},
    {"bounds.lease_ms", false, kNumberRule, applyDuration<&RelaySettings::lease, kMillisecond>},
    {"bounds.fencing_enforced", false, "must be true or false",
     applyFlag<&RelaySettings::fencingEnforced>},
    {"log.severity", false, "must be info, warning or error", applySeverity},
};

RelaySettings defaults() {
  RelaySettings settings;
  settings.grace = std::chrono::seconds(8);
  settings.retryRatio = 0.1;
  settings.retryWindow = std::chrono::seconds(10);
  settings.weightsInForce = std::chrono::seconds(8);
  settings.lease = std::chrono::seconds(3);
  return settings;
}

}  // namespace

std::optional<RelaySettings> loadRelaySettings(const SettingsSource& source,
                                               std::vector<SettingsMistake>& mistakes) {
  toml::table document;
  try {
    document = toml::parse(std::string_view{source.text}, source.file);
  } catch (const toml::parse_error& error) {
    mistakes.push_back({source.file, error.source().begin.line, "",
                        "not valid TOML: " + std::string{error.description()}});
    return std::nullopt;
  }
  RelaySettings settings = defaults();
  for (const Entry& entry : kSchema) {
    const auto* node = document.at_path(entry.key).node();
    if (node == nullptr) {
      if (entry.required)
        mistakes.push_back({source.file, 0, std::string{entry.key}, "is missing"});
    } else if (!entry.apply(settings, *node)) {
      mistakes.push_back({source.file, node->source().begin.line, std::string{entry.key},
                          std::string{entry.rule}});
    }
  }
  if (!mistakes.empty()) return std::nullopt;
  return settings;
}

}  // namespace covewing::live
