/// \file
/// Settings of a relaying node, loaded from one TOML file; all mistakes in it are reported together
/// (docs/SETTINGS.md, "Relaying nodes").
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/event_log.h"
#include "base/time.h"
#include "live/settings.h"

namespace covewing::live {

struct RelaySettings {
  std::string name;
  std::string zone;
  std::string region;

  base::Endpoint callerEndpoint;
  base::Endpoint readinessEndpoint;
  base::Endpoint peerEndpoint;
  base::Endpoint metricsEndpoint;
  /// Listener for requests of other nodes that do not reach a replica themselves; empty: none.
  std::optional<base::Endpoint> relayEndpoint;
  /// Address that connections to replicas are made from; empty: as the operating system chooses.
  std::optional<std::uint32_t> sourceAddress;
  /// Addresses of other nodes' machines; this node's own peer port is used for all of them.
  std::vector<base::Endpoint> seeds;
  base::Endpoint tableEndpoint;

  /// Time from SIGTERM until the process is killed.
  base::Duration grace{};
  /// Maximum time from the acceptance of a configuration that revokes a key until no request is in
  /// progress under that key; zero: no bound.
  base::Duration revocation{};
  double retryRatio = 0;
  base::Duration retryWindow{};
  double retrySlack = 0;
  /// Window for tenants' limits; the next two values bound the use beyond a limit within it.
  base::Duration quotaWindow{};
  double quotaOvershoot = 0;
  double quotaSlack = 0;
  /// Maximum time from the acceptance of new weights until no request may begin on older ones.
  base::Duration weightsInForce{};
  /// Two nodes must not send orders to replicas within this time of each other.
  base::Duration lease{};
  /// Whether replicas refuse orders with an older fencing token than they have already seen.
  bool fencingEnforced = true;

  /// Memory of the machine in megabytes; 0: as the operating system reports it.
  double machineMemoryMegabytes = 0;

  base::Severity logSeverity = base::Severity::kInfo;
};

/// One row of the documented table of settings.
struct RelaySettingEntry {
  std::string_view key;
  bool required = true;
  /// Rule for valid values, as reported for an invalid one.
  std::string_view rule;
  std::string_view meaning;
};

/// All settings in the order of the documentation.
std::vector<RelaySettingEntry> relaySettingTable();

/// Parses and validates a settings file. Returns nothing if any mistakes are added to `mistakes`.
std::optional<RelaySettings> loadRelaySettings(const SettingsSource& source,
                                               std::vector<SettingsMistake>& mistakes);

}  // namespace covewing::live
