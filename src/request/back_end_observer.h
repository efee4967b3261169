/// \file
/// What the request path learns about back ends by using them.
#pragma once

#include "base/ids.h"
#include "clients/back_end.h"

namespace covewing::request {

class BackEndObserver {
 public:
  virtual ~BackEndObserver() = default;
  /// An attempt at the back end failed.
  virtual void onDispatchFailed(base::EngineId backEnd, const clients::DispatchError& error) = 0;
};

}  // namespace covewing::request
