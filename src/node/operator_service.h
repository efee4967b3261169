/// \file
/// Dispatches operator calls to the resource of their target and responds in JSON. docs/operators/
/// describes the calls. Errors have a numbered result code and an outcome, like errors to callers.
#pragma once

#include <functional>
#include <memory>

#include "base/time.h"
#include "config/configuration_store.h"
#include "config/template_editor.h"
#include "coordination/coordinator.h"
#include "engine_routing/fleet_view.h"
#include "membership/member_directory.h"
#include "node/explain_log.h"
#include "node/operator_api.h"
#include "node/operator_service_status.h"

namespace covewing::node {

/// Dependencies of the service. All must outlive it and be used on its thread.
struct OperatorServiceDependencies {
  const base::Clock& clock;
  base::TimerService& timers;
  config::TemplateEditor& templates;
  const config::ConfigurationStore& configuration;
  coordination::Coordinator& coordinator;
  const coordination::EngineCatalogue& catalogue;
  const membership::MemberDirectory& members;
  const engine_routing::FleetView& fleet;
  const ExplainLog& explainLog;
  std::function<NodeActivity()> activity;
};

std::unique_ptr<OperatorService> makeOperatorService(
    const OperatorServiceDependencies& dependencies);

}  // namespace covewing::node
