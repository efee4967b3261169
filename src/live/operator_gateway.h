/// \file
/// Operators' HTTP calls on their own listener: checks the operator key and passes them to the
/// node.
#pragma once

#include <string>

#include "live/http_server.h"
#include "node/operator_api.h"

namespace covewing::live {

class OperatorGateway {
 public:
  /// `service` must outlive the gateway and its exchanges.
  OperatorGateway(node::OperatorService& service, std::string operatorKey)
      : service_(service), operatorKey_(std::move(operatorKey)) {}

  /// Handler of the operators' listener.
  void handle(const HttpExchangePtr& exchange);

 private:
  node::OperatorService& service_;
  std::string operatorKey_;
};

}  // namespace covewing::live
