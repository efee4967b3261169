/// \file
/// Interface through which the request path reports failures of back ends.
#pragma once

#include "base/ids.h"
#include "clients/back_end.h"

namespace covewing::request {

class BackEndObserver {
 public:
  virtual ~BackEndObserver() = default;
  /// Called when an attempt that was sent to the back end failed.
  virtual void onDispatchFailed(base::EngineId backEnd, const clients::DispatchError& error) = 0;
};

}  // namespace covewing::request
