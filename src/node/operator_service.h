/// \file
/// Operators' calls: finds the resource of a target and answers in JSON. docs/operators/ describes
/// the calls; errors carry a numbered result code and an outcome as towards callers.
#pragma once

#include <memory>

#include "base/time.h"
#include "config/configuration_store.h"
#include "config/template_editor.h"
#include "node/operator_api.h"

namespace covewing::node {

/// What the service works on. All must outlive it and share its thread.
struct OperatorServiceDependencies {
  base::TimerService& timers;
  config::TemplateEditor& templates;
  const config::ConfigurationStore& configuration;
};

std::unique_ptr<OperatorService> makeOperatorService(OperatorServiceDependencies dependencies);

}  // namespace covewing::node
