/// \file
/// Surroundings of the stores that keep, for nodes that start later, what this node knows of
/// software versions (node/software_version_store.h, node/stream_origin_store.h).
#pragma once

#include <functional>
#include <optional>

#include "base/time.h"
#include "clients/table_client.h"
#include "membership/member_directory.h"
#include "routing/software_versions.h"

namespace covewing::node {

/// All references must outlive the store.
struct VersionStoreEnvironment {
  clients::TableClient& table;
  base::Clock& clock;
  base::TimerService& timers;
  const membership::MemberDirectory& members;
  const routing::SoftwareVersions& versions;
  /// This node's estimate of the service's clock; empty before the first reply.
  std::function<std::optional<base::Duration>()> serviceClock;
};

}  // namespace covewing::node
