/// \file
/// Operator calls that show the state of this node: `/v1/fleet`, `/v1/node`, `/v1/requests/ID`.
#pragma once

#include <functional>
#include <string>

#include "base/time.h"
#include "config/configuration_store.h"
#include "coordination/coordinator.h"
#include "engine_routing/fleet_view.h"
#include "membership/member_directory.h"
#include "node/explain_log.h"
#include "node/operator_api.h"

namespace covewing::node {

/// Current activity of the node.
struct NodeActivity {
  bool ready = false;
  bool draining = false;
  std::size_t openRequests = 0;
};

/// Read-only calls; the response is returned directly.
class StatusCalls {
 public:
  StatusCalls(const base::Clock& clock, const config::ConfigurationStore& configuration,
              const membership::MemberDirectory& members, const engine_routing::FleetView& fleet,
              const coordination::Coordinator& coordinator, const ExplainLog& explainLog,
              std::function<NodeActivity()> activity)
      : clock_(clock),
        configuration_(configuration),
        members_(members),
        fleet_(fleet),
        coordinator_(coordinator),
        explainLog_(explainLog),
        activity_(std::move(activity)) {}

  OperatorResponse fleet() const;
  OperatorResponse node() const;
  OperatorResponse explain(const std::string& requestId) const;

 private:
  const base::Clock& clock_;
  const config::ConfigurationStore& configuration_;
  const membership::MemberDirectory& members_;
  const engine_routing::FleetView& fleet_;
  const coordination::Coordinator& coordinator_;
  const ExplainLog& explainLog_;
  std::function<NodeActivity()> activity_;
};

}  // namespace covewing::node
