/// \file
/// Operator calls on orders to engines: `/v1/orders`.
#pragma once

#include <string>

#include "coordination/engine_catalogue.h"
#include "coordination/order_store.h"
#include "node/operator_api.h"
#include "node/operator_service_response.h"
#include "node/operator_service_target.h"

namespace covewing::node {

/// Every answer but a refusal of the call itself comes from the table service.
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
