#include "node/operator_service_response.h"

namespace covewing::node {

namespace {

using Json = nlohmann::json;

std::string textOf(const Json& body) {
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json errorBody(base::ResultCode code, std::string detail, OperatorOutcome outcome) {
  return {{"code", static_cast<std::uint16_t>(code)},
          {"name", base::describe(code).name},
          {"detail", std::move(detail)},
          {"outcome", outcome == OperatorOutcome::kUnknown ? "unknown" : "not-run"}};
}

}  // namespace

OperatorResponse okResponse(const Json& body) { return {base::ResultCode::kOk, textOf(body)}; }

OperatorResponse errorResponse(base::ResultCode code, std::string detail, OperatorOutcome outcome) {
  return {code, textOf(errorBody(code, std::move(detail), outcome))};
}

OperatorResponse errorResponse(const base::Reason& reason) {
  return errorResponse(reason.code, reason.detail);
}

OperatorResponse errorResponse(base::ResultCode code,
                               const std::vector<config::FieldMistake>& mistakes) {
  Json body = errorBody(code, config::toText(mistakes), OperatorOutcome::kNotRun);
  if (!mistakes.empty()) body["field"] = mistakes.front().path;
  Json list = Json::array();
  for (const config::FieldMistake& mistake : mistakes) {
    list.push_back({{"field", mistake.path}, {"problem", mistake.problem}});
  }
  body["mistakes"] = std::move(list);
  return {code, textOf(body)};
}

OperatorResponse conflictResponse(std::string detail, Json current) {
  Json body =
      errorBody(base::ResultCode::kVersionConflict, std::move(detail), OperatorOutcome::kNotRun);
  body["current"] = std::move(current);
  return {base::ResultCode::kVersionConflict, textOf(body)};
}

}  // namespace covewing::node
