#include "live/settings_schema.h"

#include <algorithm>

namespace covewing::live {

namespace {

constexpr std::size_t kMaximumName = 64;
constexpr std::size_t kMinimumKey = 16;
constexpr std::size_t kMaximumKey = 256;

bool isNameCharacter(char character) {
  const bool letter =
      (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
  const bool digit = character >= '0' && character <= '9';
  return letter || digit || character == '.' || character == '_' || character == '-';
}

template <std::string Settings::*member>
bool applyName(Settings& settings, const SettingValue& value) {
  const auto& text = std::get<std::string>(value);
  settings.*member = text;
  return !text.empty() && text.size() <= kMaximumName && std::ranges::all_of(text, isNameCharacter);
}

bool applyKey(Settings& settings, const SettingValue& value) {
  settings.operatorKey = std::get<std::string>(value);
  return settings.operatorKey.size() >= kMinimumKey && settings.operatorKey.size() <= kMaximumKey;
}

template <base::Endpoint Settings::*member>
bool applyEndpoint(Settings& settings, const SettingValue& value) {
  const auto endpoint = base::parseEndpoint(std::get<std::string>(value));
  settings.*member = endpoint.value_or(base::Endpoint{});
  return endpoint.has_value();
}

bool applySeeds(Settings& settings, const SettingValue& value) {
  settings.seeds.clear();
  for (const auto& text : std::get<std::vector<std::string>>(value)) {
    const auto endpoint = base::parseEndpoint(text);
    if (!endpoint || endpoint->port == 0) return false;
    settings.seeds.push_back(*endpoint);
  }
  return true;
}

template <std::size_t Settings::*member, std::int64_t minimum, std::int64_t maximum>
bool applyCount(Settings& settings, const SettingValue& value) {
  const auto number = std::get<std::int64_t>(value);
  settings.*member = static_cast<std::size_t>(number);
  return number >= minimum && number <= maximum;
}

template <class Unit, base::Duration Settings::*member, std::int64_t minimum, std::int64_t maximum>
bool applyDuration(Settings& settings, const SettingValue& value) {
  const auto number = std::get<std::int64_t>(value);
  if (number < minimum || number > maximum) return false;
  settings.*member = Unit(number);
  return true;
}

bool applySeverity(Settings& settings, const SettingValue& value) {
  const auto& text = std::get<std::string>(value);
  if (text == "info") {
    settings.logSeverity = base::Severity::kInfo;
  } else if (text == "warning") {
    settings.logSeverity = base::Severity::kWarning;
  } else if (text == "error") {
    settings.logSeverity = base::Severity::kError;
  } else {
    return false;
  }
  return true;
}

using std::chrono::milliseconds;
using std::chrono::seconds;
using enum SettingType;

constexpr std::string_view kNameRule = "1 to 64 letters, digits, '.', '_' or '-'";
constexpr std::string_view kEndpointRule = "a.b.c.d:port; port 0 takes a free one";
constexpr std::string_view kServerRule = "a.b.c.d:port";

constexpr SettingEntry kSchema[] = {
    {"node.name", kText, "", kNameRule, "name of the node, unique in the fleet",
     applyName<&Settings::name>},
    {"node.zone", kText, "", kNameRule, "zone that the machine stands in",
     applyName<&Settings::zone>},
    {"node.region", kText, "", kNameRule, "region of the zone", applyName<&Settings::region>},
    {"listen.caller", kEndpoint, "", kEndpointRule, "listener for callers",
     applyEndpoint<&Settings::callerEndpoint>},
    {"listen.operator", kEndpoint, "", kEndpointRule, "listener for operators",
     applyEndpoint<&Settings::operatorEndpoint>},
    {"listen.peer", kEndpoint, "", kEndpointRule,
     "listener for other nodes, UDP and TCP; other nodes reach this one at this address",
     applyEndpoint<&Settings::peerEndpoint>},
    {"listen.metrics", kEndpoint, "", kEndpointRule, "listener for /metrics, /healthz and /readyz",
     applyEndpoint<&Settings::metricsEndpoint>},
    {"cluster.seeds", kEndpointList, "", "a list of a.b.c.d:port; on the command line with commas",
     "peer listeners of other nodes to join through; the first node has none", applySeeds},
    {"platform.table", kEndpoint, "", kServerRule, "table service",
     applyEndpoint<&Settings::tableEndpoint>},
    {"platform.objects", kEndpoint, "", kServerRule, "object store",
     applyEndpoint<&Settings::objectsEndpoint>},
    {"platform.machines", kEndpoint, "", kServerRule, "machine list",
     applyEndpoint<&Settings::machinesEndpoint>},
    {"platform.timeout_ms", kInteger, "2000", "100 to 60000",
     "longest wait for an answer of a platform service, in milliseconds",
     applyDuration<milliseconds, &Settings::platformTimeout, 100, 60'000>},
    {"limits.open_requests", kInteger, "10000", "1 to 1000000",
     "requests in flight on this node, held ones included",
     applyCount<&Settings::openRequests, 1, 1'000'000>},
    {"limits.load_slots", kInteger, "2", "1 to 1000",
     "weights that engines of the region load at once: the weight store's limit, equal on all "
     "nodes",
     applyCount<&Settings::loadSlots, 1, 1000>},
    {"limits.connections", kInteger, "20000", "1 to 1000000", "open connections of callers",
     applyCount<&Settings::connections, 1, 1'000'000>},
    {"limits.body_bytes", kInteger, "8388608", "1024 to 1073741824",
     "largest body of a request, in bytes", applyCount<&Settings::bodyBytes, 1024, 1'073'741'824>},
    {"limits.header_bytes", kInteger, "16384", "1024 to 1048576",
     "largest header section of a request, in bytes",
     applyCount<&Settings::headerBytes, 1024, 1'048'576>},
    {"limits.answer_buffer_bytes", kInteger, "65536", "1024 to 16777216",
     "bytes of an answer kept for a slow caller before its engine's stream is paused",
     applyCount<&Settings::responseBufferBytes, 1024, 16'777'216>},
    {"limits.stall_seconds", kInteger, "60", "1 to 3600",
     "a caller that takes no byte of its waiting answer for this long is disconnected",
     applyDuration<seconds, &Settings::stallTimeout, 1, 3600>},
    {"limits.drain_seconds", kInteger, "60", "1 to 3600",
     "longest time that a planned stop waits for requests in flight",
     applyDuration<seconds, &Settings::drainTimeout, 1, 3600>},
    {"operator.key", kText, "", "16 to 256 characters",
     "bearer key that operators' calls must carry", applyKey},
    {"routing.policy", kText, "default", kNameRule, "routing policy by name",
     applyName<&Settings::routingPolicy>},
    {"configuration.freshness_ms", kInteger, "5000", "100 to 600000",
     "the configuration counts as confirmed for this long after its last confirmation",
     applyDuration<milliseconds, &Settings::freshnessBound, 100, 600'000>},
    {"log.severity", kText, "info", "info, warning or error", "least severity that is logged",
     applySeverity},
};

}  // namespace

std::string_view toString(SettingType type) {
  switch (type) {
    case kText:
      return "text";
    case kInteger:
      return "integer";
    case kEndpoint:
      return "address";
    case kEndpointList:
      return "list of addresses";
  }
  return "";
}

std::span<const SettingEntry> settingsSchema() { return kSchema; }

const SettingEntry* findSetting(std::string_view key) {
  const auto* entry = std::ranges::find(kSchema, key, &SettingEntry::key);
  return entry == std::end(kSchema) ? nullptr : entry;
}

}  // namespace covewing::live
