#include "tools/covewingctl_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "base/result_code.h"

namespace covewing::tools {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;
constexpr std::size_t kMaximumResponseBytes = 64U << 20U;
constexpr unsigned kFirstErrorStatus = 400;

/// Outcome of one attempt on one node.
enum class AttemptOutcome : std::uint8_t {
  kResponded,
  /// The call was not executed: the connection failed, or the node reported that it did not execute
  /// it.
  kNotExecuted,
  /// The request was sent but no complete response was received, or the node does not know the
  /// outcome.
  kUnknown,
};

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kNotExecuted;
  unsigned httpStatus = 0;
  std::string body;
  std::string detail;
};

/// Returns the result code of an error body, or kOk if the body has none.
base::ResultCode codeOf(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("code") || !json["code"].is_number_unsigned()) {
    return base::ResultCode::kOk;
  }
  return static_cast<base::ResultCode>(json["code"].get<std::uint16_t>());
}

/// Sends one call over a connection of its own.
class Exchange {
 public:
  Exchange(const ClientOptions& options, const base::Endpoint& node)
      : options_(options), node_(node), stream_(context_) {}

  AttemptResult run(const ApiCall& call) {
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(node_.address), node_.port);
    stream_.expires_after(options_.timeout);
    stream_.async_connect(endpoint, [this](beast::error_code error) { error_ = error; });
    if (!finish()) return failure(AttemptOutcome::kNotExecuted, "cannot connect");
    const auto request = makeRequest(call);
    http::async_write(stream_, request,
                      [this](beast::error_code error, std::size_t) { error_ = error; });
    if (!finish()) return failure(AttemptOutcome::kUnknown, "connection lost while sending");
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaximumResponseBytes);
    http::async_read(stream_, buffer_, parser,
                     [this](beast::error_code error, std::size_t) { error_ = error; });
    if (!finish()) return failure(AttemptOutcome::kUnknown, "no complete answer");
    return classify(parser.release());
  }

 private:
  bool finish() {
    context_.restart();
    context_.run();
    return !error_;
  }

  http::request<http::string_body> makeRequest(const ApiCall& call) const {
    http::request<http::string_body> request(http::string_to_verb(call.method), call.target,
                                             kHttpVersion);
    request.set(http::field::host, base::toString(node_));
    request.set(http::field::user_agent, "covewingctl");
    request.set(http::field::connection, "close");
    if (!options_.key.empty()) {
      request.set(http::field::authorization, "Bearer " + options_.key);
    }
    if (!call.body.empty()) request.set(http::field::content_type, "application/json");
    request.body() = call.body;
    request.prepare_payload();
    return request;
  }

  AttemptResult failure(AttemptOutcome outcome, std::string_view what) const {
    std::string detail = base::toString(node_);
    detail.append(": ").append(what).append(": ").append(error_.message());
    return {.outcome = outcome, .httpStatus = 0, .body = {}, .detail = std::move(detail)};
  }

  AttemptResult classify(http::response<http::string_body> response) const {
    AttemptResult result{.outcome = AttemptOutcome::kResponded,
                         .httpStatus = response.result_int(),
                         .body = std::move(response.body()),
                         .detail = {}};
    switch (codeOf(result.body)) {
      case base::ResultCode::kPlatformOutcomeUnknown:
        result.outcome = AttemptOutcome::kUnknown;
        break;
      case base::ResultCode::kPlatformUnavailable:
      case base::ResultCode::kPlatformRateLimited:
      case base::ResultCode::kNodeDraining:
      case base::ResultCode::kNodeOverloaded:
        result.outcome = AttemptOutcome::kNotExecuted;
        break;
      default:
        break;
    }
    if (result.outcome != AttemptOutcome::kResponded) {
      result.detail = base::toString(node_) + ": " + result.body;
    }
    return result;
  }

  const ClientOptions& options_;
  base::Endpoint node_;
  asio::io_context context_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  beast::error_code error_;
};

}  // namespace

ApiResult callNodes(const ClientOptions& options, const ApiCall& call) {
  ApiResult result;
  bool outcomeUnknown = false;
  for (unsigned round = 0; round < options.rounds; ++round) {
    if (round > 0) std::this_thread::sleep_for(options.pause);
    for (const auto& node : options.nodes) {
      Exchange exchange(options, node);
      AttemptResult attempt = exchange.run(call);
      if (attempt.outcome == AttemptOutcome::kResponded) {
        const bool refused = attempt.httpStatus >= kFirstErrorStatus;
        return {.status = refused ? ExitStatus::kRefused : ExitStatus::kOk,
                .body = std::move(attempt.body),
                .detail = {}};
      }
      outcomeUnknown = outcomeUnknown || attempt.outcome == AttemptOutcome::kUnknown;
      result.body = std::move(attempt.body);
      result.detail = std::move(attempt.detail);
    }
  }
  result.status =
      call.mutates && outcomeUnknown ? ExitStatus::kUnknownOutcome : ExitStatus::kUnreachable;
  return result;
}

}  // namespace covewing::tools
