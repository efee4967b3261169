/// \file
/// Handles operators' HTTP calls, which arrive on a listener of their own: checks the operator key
/// and forwards the calls to the node.
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

  /// Handles a call that the operators' listener has received.
  void handle(const HttpExchangePtr& exchange);

 private:
  node::OperatorService& service_;
  std::string operatorKey_;
};

}  // namespace covewing::live
