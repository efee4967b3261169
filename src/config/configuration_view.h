/// \file
/// The configuration in force on one node, as the request path reads it.
#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "config/tenant_template.h"

namespace covewing::config {

using TenantTemplatePtr = std::shared_ptr<const TenantTemplate>;

struct Freshness {
  /// Highest revision in force here.
  base::Revision revision = 0;
  /// The node has confirmed within the bound that no later revision was accepted before then.
  bool confirmed = false;
  /// Age of the last confirmation.
  base::Duration age{};
  /// The process was paused or has just started, and a check is under way: a request waits shortly
  /// for its end (`confirmed` or `checking` changes) before the template's stale choice applies.
  bool checking = false;
};

class ConfigurationView {
 public:
  virtual ~ConfigurationView() = default;
  /// The template whose keys include `bearerKey`; retired templates are returned too. Null if none.
  virtual TenantTemplatePtr findByKey(std::string_view bearerKey) const = 0;
  virtual TenantTemplatePtr findByName(std::string_view name) const = 0;
  virtual Freshness freshness() const = 0;
  /// A whole copy was loaded, so that an absent key means an unknown tenant.
  virtual bool loaded() const = 0;
};

}  // namespace covewing::config
