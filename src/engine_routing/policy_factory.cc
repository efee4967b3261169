#include "engine_routing/policy_factory.h"

#include <array>
#include <string>

#include "engine_routing/full_index_policy.h"
#include "engine_routing/least_loaded_policy.h"
#include "engine_routing/power_of_two_policy.h"
#include "engine_routing/prefix_affinity_policy.h"
#include "engine_routing/prefix_hash_policy.h"
#include "engine_routing/probe_pool_policy.h"
#include "engine_routing/random_policy.h"
#include "engine_routing/round_robin_policy.h"

namespace covewing::engine_routing {

namespace {

using PolicyConstructor = std::unique_ptr<RoutingPolicy> (*)(PolicyEnvironment);

template <class Policy>
std::unique_ptr<RoutingPolicy> make(PolicyEnvironment environment) {
  return std::make_unique<Policy>(std::move(environment));
}

struct PolicyEntry {
  std::string_view name;
  PolicyConstructor make;
  PollScope pollScope;
};

constexpr std::array kPolicies = {
    PolicyEntry{kDefaultPolicy, make<PrefixAffinityPolicy>, PollScope::kHomeEngines},
    PolicyEntry{"random", make<RandomPolicy>, PollScope::kHomeEngines},
    PolicyEntry{"round_robin", make<RoundRobinPolicy>, PollScope::kHomeEngines},
    PolicyEntry{"least_loaded", make<LeastLoadedPolicy>, PollScope::kAllEngines},
    PolicyEntry{"power_of_two", make<PowerOfTwoPolicy>, PollScope::kAllEngines},
    PolicyEntry{"prefix_hash", make<PrefixHashPolicy>, PollScope::kHomeEngines},
    PolicyEntry{"full_index", make<FullIndexPolicy>, PollScope::kAllEngines},
    PolicyEntry{"probe_pool", make<ProbePoolPolicy>, PollScope::kHomeEngines},
    PolicyEntry{"prefix_affinity", make<PrefixAffinityPolicy>, PollScope::kHomeEngines},
};

const PolicyEntry* findPolicy(std::string_view name) {
  for (const auto& entry : kPolicies) {
    if (entry.name == name) return &entry;
  }
  return nullptr;
}

}  // namespace

std::unique_ptr<RoutingPolicy> makePolicy(std::string_view name, PolicyEnvironment environment,
                                          base::Reason& reason) {
  const PolicyEntry* entry = findPolicy(name);
  if (entry != nullptr) return entry->make(std::move(environment));
  std::string names;
  for (const auto known : policyNames()) {
    names += names.empty() ? "" : ", ";
    names += known;
  }
  reason = {base::ResultCode::kSettingsInvalid,
            "no routing policy \"" + std::string(name) + "\"; there are " + names};
  return nullptr;
}

PollScope pollScopeOf(std::string_view policy) {
  const PolicyEntry* entry = findPolicy(policy);
  return entry == nullptr ? PollScope::kHomeEngines : entry->pollScope;
}

std::vector<std::string_view> policyNames() {
  std::vector<std::string_view> names;
  names.reserve(kPolicies.size());
  for (const auto& entry : kPolicies) names.push_back(entry.name);
  return names;
}

}  // namespace covewing::engine_routing
