/// \file
/// Operator calls for tenant templates: `/v1/templates` and `/v1/expand`.
#pragma once

#include <string>

#include "config/configuration_store.h"
#include "config/template_editor.h"
#include "node/operator_api.h"
#include "node/operator_service_response.h"
#include "node/operator_service_target.h"

namespace covewing::node {

/// Reads are served from this node's local copy; each `version` in the response shows how recent
/// the copy is. Changes and histories go to the table service. Every method responds exactly once;
/// reads respond before the method returns.
class TemplateCalls {
 public:
  TemplateCalls(config::TemplateEditor& editor, const config::ConfigurationStore& store)
      : editor_(editor), store_(store) {}

  void call(const OperatorTarget& target, const OperatorRequest& request,
            OperatorCallback callback);
  OperatorResponse expand(const OperatorTarget& target, const std::string& document) const;

 private:
  void callOne(const std::string& name, const OperatorTarget& target,
               const OperatorRequest& request, OperatorCallback callback);
  OperatorResponse list(const OperatorTarget& target) const;
  OperatorResponse get(const std::string& name) const;
  void submit(const config::TemplateEdit& edit, OperatorCallback callback);
  void history(const std::string& name, OperatorCallback callback);
  void change(const std::string& name, const OperatorTarget& target, const OperatorRequest& request,
              OperatorCallback callback);
  void retire(const std::string& name, const OperatorTarget& target, OperatorCallback callback);

  config::TemplateEditor& editor_;
  const config::ConfigurationStore& store_;
};

}  // namespace covewing::node
