#include "live/http_relay_client.h"

#include <utility>

namespace covewing::live {

namespace {

class Call final : public clients::RelayCall, private HttpCallHandler {
 public:
  Call(const RelayDialect& dialect, clients::DispatchTerms terms, clients::RelayHandler& handler)
      : dialect_(dialect), terms_(std::move(terms)), handler_(handler) {}

  void begin(HttpClient& http, const base::Endpoint& replica, const HttpRequest& request) {
    call_ = http.start(replica, request, base::Duration::zero(), *this);
  }

  void setPaused(bool paused) override { call_->setPaused(paused); }
  std::optional<std::size_t> unacknowledgedBytes() const override {
    return call_->unacknowledgedBytes();
  }

 private:
  bool stillWanted() const override { return handler_.stillWanted(); }
  void onHead(const HttpResponse& head) override {
    handler_.onHead(dialect_.readAnswer(head, terms_));
  }
  void onBody(std::string_view bytes) override { handler_.onBody(bytes); }
  void onComplete() override { handler_.onEnd(); }
  void onFailure(clients::DispatchFailure failure, std::string detail) override {
    const auto code = failure == clients::DispatchFailure::kNotSent
                          ? base::ResultCode::kBackEndUnreachable
                          : base::ResultCode::kBackEndLost;
    handler_.onFailure({failure, {code, std::move(detail)}});
  }

  const RelayDialect& dialect_;
  clients::DispatchTerms terms_;
  clients::RelayHandler& handler_;
  std::unique_ptr<HttpCall> call_;
};

}  // namespace

std::unique_ptr<clients::RelayCall> HttpRelayClient::start(const base::Endpoint& replica,
                                                           clients::RelayedRequestPtr request,
                                                           const clients::DispatchTerms& terms,
                                                           clients::RelayHandler& handler) {
  auto call = std::make_unique<Call>(dialect_, terms, handler);
  call->begin(http_, replica, dialect_.dispatch(*request, terms));
  return call;
}

}  // namespace covewing::live
