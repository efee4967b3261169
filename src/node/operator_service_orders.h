/// \file
/// Operator calls for orders to engines: `/v1/orders`.
#pragma once

#include <string>

#include "coordination/engine_catalogue.h"
#include "coordination/order_store.h"
#include "node/operator_api.h"
#include "node/operator_service_response.h"
#include "node/operator_service_target.h"

namespace covewing::node {

/// Every response is based on a reply of the table service, except errors in the call itself.
class OrderCalls {
 public:
  OrderCalls(coordination::OrderStore& store, const coordination::EngineCatalogue& catalogue)
      : store_(store), catalogue_(catalogue) {}

  void call(const OperatorTarget& target, const OperatorRequest& request,
            OperatorCallback callback);

 private:
  void callOne(const std::string& id, const OperatorTarget& target, const OperatorRequest& request,
               OperatorCallback callback);
  void create(const OperatorTarget& target, const std::string& body, OperatorCallback callback);
  void list(OperatorCallback callback);

  coordination::OrderStore& store_;
  const coordination::EngineCatalogue& catalogue_;
};

}  // namespace covewing::node
