#include "live/http_relay_client.h"

#include <utility>

#include "live/body_framing.h"
#include "live/peer_relay_headers.h"

namespace covewing::live {

namespace {

using clients::DispatchFailure;
using clients::FailurePoint;

clients::DispatchError errorOf(DispatchFailure failure, FailurePoint point, std::string detail) {
  const auto code = failure == DispatchFailure::kNotSent ? base::ResultCode::kBackEndUnreachable
                                                         : base::ResultCode::kBackEndLost;
  const auto runEnd =
      failure == DispatchFailure::kNotSent ? clients::RunEnd::kNotSent : clients::RunEnd::kNotShown;
  return {failure, {code, std::move(detail)}, point, runEnd};
}

/// The failure that another node reports instead of the replica's response; empty if there is none.
std::optional<clients::DispatchError> reportedFailure(const HttpResponse& head) {
  const auto failure = head.header(relay_headers::kFailure);
  if (failure.empty()) return std::nullopt;
  if (failure == relay_headers::kRefused)
    return errorOf(DispatchFailure::kNotSent, FailurePoint::kRelay, "another node refused it");
  if (failure == relay_headers::kUnreachable) {
    return errorOf(DispatchFailure::kNotSent, FailurePoint::kBackEnd,
                   "another node does not reach the replica");
  }
  auto lost = errorOf(DispatchFailure::kOutcomeUnknown, FailurePoint::kBackEnd,
                      "another node lost the connection to the replica");
  if (!head.header(relay_headers::kRunEnded).empty())
    lost.runEnd = clients::RunEnd::kConnectionEnded;
  return lost;
}

class Call : public clients::RelayCall, protected HttpCallHandler {
 public:
  Call(const RelayDialect& dialect, clients::DispatchTerms terms, clients::RelayHandler& handler)
      : dialect_(dialect), terms_(std::move(terms)), handler_(handler) {}

  void begin(HttpClient& http, const base::Endpoint& server, const HttpRequest& request) {
    method_ = request.method;
    call_ = http.start(server, request, base::Duration::zero(), *this);
  }

  void setPaused(bool paused) override { call_->setPaused(paused); }
  std::optional<std::size_t> unacknowledgedBytes() const override {
    return call_->unacknowledgedBytes();
  }
  bool mayHaveBeenSent() const override { return call_->mayHaveBeenSent(); }
  bool withdraw() override {
    call_->withdraw();
    return true;
  }

 protected:
  void deliverHead(const HttpResponse& head, clients::BodyFraming framing) {
    auto answer = dialect_.readAnswer(head, terms_);
    answer.framing = framing;
    handler_.onHead(std::move(answer));
  }
  clients::BodyFraming framingOf(const HttpResponse& head) const {
    return bodyFraming(head, method_);
  }

  bool stillWanted() const override { return handler_.stillWanted(); }
  bool awaitsConnectionEnd() const override { return handler_.runEndRequired(); }
  void onHead(const HttpResponse& head) override { deliverHead(head, framingOf(head)); }
  void onBody(std::string_view bytes) override { handler_.onBody(bytes); }
  void onComplete() override { handler_.onEnd(); }
  void onFailure(clients::DispatchError error) override { handler_.onFailure(std::move(error)); }

  clients::RelayHandler& handler() { return handler_; }

 private:
  const RelayDialect& dialect_;
  clients::DispatchTerms terms_;
  clients::RelayHandler& handler_;
  std::string method_;
  std::unique_ptr<HttpCall> call_;
};

/// A call that another node passes on.
class ViaCall final : public Call {
 public:
  using Call::Call;

  // The end of the connection to the other node says nothing of the replica.
  bool withdraw() override { return false; }

 private:
  bool awaitsConnectionEnd() const override { return false; }
  void onHead(const HttpResponse& head) override {
    failure_ = reportedFailure(head);
    if (failure_) return;
    const bool endedWithConnection =
        head.header(relay_headers::kFraming) == relay_headers::kConnectionEnd;
    HttpResponse replicaHead = head;
    std::erase_if(replicaHead.headers, [](const HeaderField& field) {
      return equalHeaderNames(field.name, relay_headers::kFraming);
    });
    deliverHead(replicaHead,
                endedWithConnection ? clients::BodyFraming::kConnectionEnd : framingOf(head));
  }
  void onBody(std::string_view bytes) override {
    if (!failure_) Call::onBody(bytes);
  }
  void onComplete() override {
    if (failure_) {
      handler().onFailure(*failure_);
    } else {
      Call::onComplete();
    }
  }
  void onFailure(clients::DispatchError error) override {
    error.point = FailurePoint::kRelay;
    // The connection to the other node has ended, not that of the replica.
    if (error.runEnd != clients::RunEnd::kNotSent) error.runEnd = clients::RunEnd::kNotShown;
    handler().onFailure(failure_.value_or(std::move(error)));
  }

  std::optional<clients::DispatchError> failure_;
};

void addRelayHeaders(HttpRequest& request, const clients::DispatchTerms& terms) {
  request.headers.push_back({std::string{relay_headers::kReplica}, terms.replica.instance()});
  if (!terms.tenant.empty())
    request.headers.push_back({std::string{relay_headers::kTenant}, terms.tenant});
}

}  // namespace

std::unique_ptr<clients::RelayCall> HttpRelayClient::start(const clients::RelayPath& path,
                                                           clients::RelayedRequestPtr request,
                                                           const clients::DispatchTerms& terms,
                                                           clients::RelayHandler& handler) {
  auto message = dialect_.dispatch(*request, terms);
  if (!path.via) {
    auto call = std::make_unique<Call>(dialect_, terms, handler);
    call->begin(replicas_, terms.replica.endpoint(), message);
    return call;
  }
  addRelayHeaders(message, terms);
  auto call = std::make_unique<ViaCall>(dialect_, terms, handler);
  call->begin(peers_, *path.via, message);
  return call;
}

}  // namespace covewing::live
