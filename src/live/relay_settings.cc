#include "live/relay_settings.h"

#include <toml++/toml.h>

#include <charconv>
#include <functional>
#include <limits>
#include <span>

namespace covewing::live {

namespace {

constexpr std::string_view kAddressRule = "must be a.b.c.d:port";
constexpr std::string_view kTextRule = "must be a text";
constexpr std::string_view kNumberRule = "must be a number of 0 or more";

/// Stores one value in the settings; returns false if the value is invalid.
using Apply = bool (*)(RelaySettings&, const toml::node&);

struct Entry {
  RelaySettingEntry documented;
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

/// An address, or "peers+N": N ports above the listener for other nodes, which comes first.
bool applyRelayEndpoint(RelaySettings& settings, const toml::node& node) {
  constexpr std::string_view kRelative = "peers+";
  const auto text = node.value_or(std::string{});
  if (!text.starts_with(kRelative)) {
    settings.relayEndpoint = endpointOf(node);
    return settings.relayEndpoint.has_value();
  }
  unsigned offset = 0;
  const auto* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + kRelative.size(), end, offset);
  if (error != std::errc{} || stop != end || offset == 0) return false;
  const auto port = settings.peerEndpoint.port + offset;
  if (port > std::numeric_limits<std::uint16_t>::max()) return false;
  settings.relayEndpoint = {settings.peerEndpoint.address, static_cast<std::uint16_t>(port)};
  return true;
}

bool applySourceAddress(RelaySettings& settings, const toml::node& node) {
  const auto endpoint = base::parseEndpoint(node.value_or(std::string{}) + ":1");
  if (endpoint) settings.sourceAddress = endpoint->address;
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
    {{"node.name", true, kTextRule, "name of the node, unique in the fleet"},
     applyText<&RelaySettings::name>},
    {{"node.zone", true, kTextRule, "zone that the machine stands in"},
     applyText<&RelaySettings::zone>},
    {{"node.region", true, kTextRule, "region of the zone"}, applyText<&RelaySettings::region>},
    {{"listen.callers", true, kAddressRule, "listener for callers"},
     applyEndpoint<&RelaySettings::callerEndpoint>},
    {{"listen.readiness", true, kAddressRule, "answers 200 while the node is ready, else 503"},
     applyEndpoint<&RelaySettings::readinessEndpoint>},
    {{"listen.peers", true, kAddressRule,
      "listener for other nodes, UDP and TCP; its port is the same on all nodes"},
     applyEndpoint<&RelaySettings::peerEndpoint>},
    {{"listen.relay", false, "must be a.b.c.d:port or peers+N",
      "listener for requests of other nodes that do not reach a replica themselves, also as a "
      "number of ports above that of listen.peers; without it none are accepted"},
     applyRelayEndpoint},
    {{"listen.metrics", false, kAddressRule, "metrics; none are served without it"},
     applyEndpoint<&RelaySettings::metricsEndpoint>},
    {{"machine.memory_mb", false, kNumberRule,
      "memory of the machine in megabytes, which bounds what is held for callers; default 0: as "
      "the "
      "operating system reports it"},
     applyNumber<&RelaySettings::machineMemoryMegabytes>},
    {{"connect.source", false, "must be a.b.c.d",
      "address that connections to replicas are made from; chosen by the operating system without "
      "it"},
     applySourceAddress},
    {{"cluster.seeds", false, "must be a list of a.b.c.d:port",
      "machines of other nodes to join through; their ports are not used"},
     applySeeds},
    {{"table_service.address", true, kAddressRule, "table service"},
     applyEndpoint<&RelaySettings::tableEndpoint>},
    {{"bounds.grace_s", false, kNumberRule,
      "from the planned stop's signal until the process is killed; default 8"},
     applyDuration<&RelaySettings::grace, kSecond>},
    {{"bounds.revocation_ms", false, kNumberRule,
      "from the acceptance of a configuration that takes a key away until no request runs under "
      "it; "
      "default 0: no bound"},
     applyDuration<&RelaySettings::revocation, kMillisecond>},
    {{"bounds.retry_ratio", false, kNumberRule,
      "retries of all nodes to a service for each of its requests; default 0.1"},
     applyNumber<&RelaySettings::retryRatio>},
    {{"bounds.retry_window_s", false, kNumberRule,
      "span within which the bound on retries holds; default 10"},
     applyDuration<&RelaySettings::retryWindow, kSecond>},
    {{"bounds.retry_slack", false, kNumberRule,
      "retries of all nodes to a service allowed besides; default 0"},
     applyNumber<&RelaySettings::retrySlack>},
    {{"bounds.quota_window_s", false, kNumberRule,
      "span within which a tenant keeps to its limit, up to the two values below; default 8"},
     applyDuration<&RelaySettings::quotaWindow, kSecond>},
    {{"bounds.quota_overshoot", false, kNumberRule,
      "part of what its limit allows that a tenant may use beyond it; default 0"},
     applyNumber<&RelaySettings::quotaOvershoot>},
    {{"bounds.quota_slack", false, kNumberRule,
      "requests, or tokens, that a tenant may use beyond its limit besides; default 0"},
     applyNumber<&RelaySettings::quotaSlack>},
    {{"bounds.weights_in_force_ms", false, kNumberRule,
      "from the acceptance of new weights until no request may begin on older ones; default 8000"},
     applyDuration<&RelaySettings::weightsInForce, kMillisecond>},
    {{"bounds.lease_ms", false, kNumberRule,
      "two nodes do not order within this time of each other; default 3000"},
     applyDuration<&RelaySettings::lease, kMillisecond>},
    {{"bounds.fencing_enforced", false, "must be true or false",
      "replicas refuse orders with an older fencing token; default true"},
     applyFlag<&RelaySettings::fencingEnforced>},
    {{"log.severity", false, "must be info, warning or error",
      "least severity that is logged; default info"},
     applySeverity},
};

RelaySettings defaults() {
  RelaySettings settings;
  settings.grace = std::chrono::seconds(8);
  settings.retryRatio = 0.1;
  settings.retryWindow = std::chrono::seconds(10);
  settings.quotaWindow = std::chrono::seconds(8);
  settings.weightsInForce = std::chrono::seconds(8);
  settings.lease = std::chrono::seconds(3);
  return settings;
}

}  // namespace

std::vector<RelaySettingEntry> relaySettingTable() {
  std::vector<RelaySettingEntry> table;
  for (const Entry& entry : kSchema) table.push_back(entry.documented);
  return table;
}

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
  for (const auto& [entry, apply] : kSchema) {
    const auto* node = document.at_path(entry.key).node();
    if (node == nullptr) {
      if (entry.required)
        mistakes.push_back({source.file, 0, std::string{entry.key}, "is missing"});
    } else if (!apply(settings, *node)) {
      mistakes.push_back({source.file, node->source().begin.line, std::string{entry.key},
                          std::string{entry.rule}});
    }
  }
  if (!mistakes.empty()) return std::nullopt;
  return settings;
}

}  // namespace covewing::live
