/// \file
/// Operators' calls: finds the resource of a target and answers in JSON. docs/operators/ describes
/// the calls; errors carry a numbered result code and an outcome as towards callers.
#pragma once

#include <functional>
#include <memory>

#include "base/time.h"
#include "config/configuration_store.h"
#include "config/template_editor.h"
#include "coordination/coordinator.h"
#include "membership/member_directory.h"
#include "node/explain_log.h"
#include "node/operator_api.h"
#include "node/operator_service_status.h"
#include "routing/fleet_view.h"

namespace covewing::node {

/// What the service works on. All must outlive it and share its thread.
struct OperatorServiceDependencies {
  const base::Clock& clock;
  base::TimerService& timers;
  config::TemplateEditor& templates;
  const config::ConfigurationStore& configuration;
  coordination::Coordinator& coordinator;
  const coordination::EngineCatalogue& catalogue;
  const membership::MemberDirectory& members;
  const routing::FleetView& fleet;
  const ExplainLog& explainLog;
  std::function<NodeActivity()> activity;
};

std::unique_ptr<OperatorService> makeOperatorService(
    const OperatorServiceDependencies& dependencies);

}  // namespace covewing::node
