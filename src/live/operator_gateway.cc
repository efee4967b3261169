#include "live/operator_gateway.h"

#include "live/completion_response.h"

namespace covewing::live {

namespace {

/// Compares two texts in a time that does not depend on where they differ, so that the key cannot
/// be guessed character by character from the response time.
bool equalSecrets(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  unsigned difference = 0;
  for (std::size_t index = 0; index < left.size(); ++index) {
    difference |= static_cast<unsigned>(static_cast<unsigned char>(left[index])) ^
                  static_cast<unsigned>(static_cast<unsigned char>(right[index]));
  }
  return difference == 0;
}

}  // namespace

void OperatorGateway::handle(const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  if (!equalSecrets(bearerToken(request), operatorKey_)) {
    const base::Reason reason{base::ResultCode::kOperatorUnauthorized,
                              "Authorization: must be Bearer and the operator key"};
    exchange->respond(jsonResponse(base::describe(reason.code).httpStatus,
                                   refusalBody({reason, request::Outcome::kNotRun, {}}, "")));
    return;
  }
  node::OperatorRequest call{request.method, request.target, exchange->takeBody().copy()};
  service_.call(std::move(call), [exchange](node::OperatorResponse response) {
    exchange->respond(
        jsonResponse(base::describe(response.code).httpStatus, std::move(response.body)));
  });
}

}  // namespace covewing::live
