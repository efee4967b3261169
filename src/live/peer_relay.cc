#include "live/peer_relay.h"

#include <charconv>
#include <utility>
#include <vector>

#include "live/body_framing.h"
#include "live/peer_relay_headers.h"
#include "live/relay_dialect.h"
#include "routing/answer_notices.h"

namespace covewing::live {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadGateway = 502;

bool isRelayHeader(const HeaderField& field) {
  return equalHeaderNames(field.name, relay_headers::kReplica) ||
         equalHeaderNames(field.name, relay_headers::kTenant);
}

/// The request as the replica is to receive it.
HttpRequest requestFor(const HttpExchangePtr& exchange) {
  const auto& received = exchange->request();
  HttpRequest request{
      received.method, received.target, withoutConnectionHeaders(received.headers), {}};
  std::erase_if(request.headers, isRelayHeader);
  request.body = exchange->takeBody();
  return request;
}

std::optional<std::uint64_t> lengthOf(const HttpResponse& head) {
  const auto text = head.header("Content-Length");
  std::uint64_t length = 0;
  const auto* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, length);
  if (text.empty() || error != std::errc{} || stop != end) return std::nullopt;
  return length;
}

}  // namespace

/// One request that is passed on, and its response.
class PeerRelay::Call final : public HttpCallHandler, public std::enable_shared_from_this<Call> {
 public:
  Call(PeerRelay& relay, HttpExchangePtr exchange, routing::ReplicaRecordPtr replica)
      : relay_(relay), exchange_(std::move(exchange)), replica_(std::move(replica)) {}

  void begin() {
    exchange_->onDisconnect([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->onCancelled();
    });
    exchange_->onPressure([weak = weak_from_this()](bool high) {
      const auto self = weak.lock();
      if (self && self->call_) self->call_->setPaused(high);
    });
    sentAt_ = relay_.environment_.clock.now();
    call_ = relay_.environment_.replicaHttp.start(replica_->facts().endpoint, requestFor(exchange_),
                                                  base::Duration::zero(), *this);
  }

  /// Gives the request up because this node is about to end.
  void giveUp() {
    const auto self = shared_from_this();
    const bool sent = call_ == nullptr || call_->mayHaveBeenSent();
    call_.reset();
    if (headReceived_) {
      ++relay_.counters_.lost;
      exchange_->abort();
    } else {
      ++(sent ? relay_.counters_.lost : relay_.counters_.refused);
      relay_.respondFailure(exchange_, sent ? relay_headers::kLost : relay_headers::kRefused,
                            "this node ends");
    }
    relay_.onEnded(*this);
  }

 private:
  bool awaitsConnectionEnd() const override { return true; }
  bool stillWanted() const override {
    return exchange_->peerConnected() && relay_.accepts(*replica_);
  }

  void onHead(const HttpResponse& head) override {
    auto headers = withoutConnectionHeaders(head.headers);
    std::erase_if(headers, [](const HeaderField& field) {
      return equalHeaderNames(field.name, relay_headers::kFailure) ||
             equalHeaderNames(field.name, relay_headers::kFraming) ||
             equalHeaderNames(field.name, relay_headers::kRunEnded);
    });
    if (bodyFraming(head, exchange_->request().method) == clients::BodyFraming::kConnectionEnd) {
      headers.push_back(
          {std::string{relay_headers::kFraming}, std::string{relay_headers::kConnectionEnd}});
    }
    headReceived_ = true;
    recordNotices(head);
    exchange_->beginStream(head.status, headers, lengthOf(head));
  }
  void onBody(std::string_view bytes) override { exchange_->write(bytes); }
  void onComplete() override {
    const auto self = shared_from_this();
    ++relay_.counters_.answered;
    exchange_->end();
    relay_.onEnded(*this);
  }

  void onFailure(clients::DispatchError error) override {
    const auto self = shared_from_this();
    const bool sent = error.failure != clients::DispatchFailure::kNotSent;
    const auto& detail = error.reason.detail;
    if (headReceived_) {
      ++relay_.counters_.lost;
      exchange_->abort();
    } else if (sent) {
      ++relay_.counters_.lost;
      relay_.respondFailure(exchange_, relay_headers::kLost, detail, error.runEnd);
    } else if (!exchange_->peerConnected()) {
      ++relay_.counters_.cancelled;
      exchange_->abort();
    } else if (!relay_.accepts(*replica_)) {
      ++relay_.counters_.refused;
      relay_.respondFailure(exchange_, relay_headers::kRefused, "the replica takes no new work");
    } else {
      ++relay_.counters_.unreachable;
      relay_.environment_.links.onConnectFailed(*replica_);
      relay_.respondFailure(exchange_, relay_headers::kUnreachable, detail);
    }
    relay_.onEnded(*this);
  }

  /// What the replica says of itself concerns this node, which sent the request.
  void recordNotices(const HttpResponse& head) {
    const auto& environment = relay_.environment_;
    const clients::DispatchTerms terms{routing::targetOf(replica_->facts())};
    routing::recordAnswerNotices(*replica_, environment.log,
                                 environment.dialect.readAnswer(head, terms),
                                 {sentAt_, environment.clock.now()}, requestId());
  }
  std::string requestId() const {
    return std::string{exchange_->request().header(relay_.environment_.dialect.requestIdHeader())};
  }

  void onCancelled() {
    const auto self = shared_from_this();
    ++relay_.counters_.cancelled;
    call_.reset();
    relay_.onEnded(*this);
  }

  PeerRelay& relay_;
  HttpExchangePtr exchange_;
  routing::ReplicaRecordPtr replica_;
  std::unique_ptr<HttpCall> call_;
  base::TimePoint sentAt_{};
  bool headReceived_ = false;
};

PeerRelay::PeerRelay(PeerRelayOptions options, PeerRelayEnvironment environment)
    : options_(options), environment_(environment) {}

PeerRelay::~PeerRelay() = default;

void PeerRelay::handle(const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  const auto replica = environment_.replicas.find(request.header(relay_headers::kReplica));
  if (const auto why = refusalReason(*exchange, replica); !why.empty()) {
    ++counters_.refused;
    respondFailure(exchange, relay_headers::kRefused, why);
  } else if (!request.header(relay_headers::kProbe).empty()) {
    probe(exchange, *replica);
  } else if (!environment_.links.working(*replica)) {
    ++counters_.unreachable;
    respondFailure(exchange, relay_headers::kUnreachable, "the link to the replica has failed");
  } else {
    pass(exchange, replica);
  }
}

std::string_view PeerRelay::refusalReason(const HttpExchange& exchange,
                                          const routing::ReplicaRecordPtr& replica) const {
  if (draining_) return "this node is stopping";
  if (!exchange.peerConnected()) return "the other node has left";
  if (exchange.readDelay() > options_.maximumReadDelay) return "this node does not keep up";
  if (calls_.size() >= options_.maximumOpen) return "this node passes on too many requests";
  if (environment_.links.mostFailed()) return "this node reaches few replicas itself";
  if (replica == nullptr || !accepts(*replica)) return "the replica takes no new work";
  const auto tenant = exchange.request().header(relay_headers::kTenant);
  const auto table = environment_.tables.table();
  if (table == nullptr) return "no configuration is known yet";
  if (!tenant.empty() && table->findTenantByName(tenant) == nullptr)
    return "the tenant is not configured";
  return {};
}

bool PeerRelay::accepts(const routing::ReplicaRecord& replica) const {
  return replica.inService() && !replica.notices().backingOff(environment_.clock.now());
}

void PeerRelay::probe(const HttpExchangePtr& exchange,
                      const routing::ReplicaRecord& replica) const {
  environment_.reachability.connect(replica.facts().endpoint, options_.probeTimeout,
                                    [exchange](clients::Reachability reachability) {
                                      const bool accepts =
                                          reachability == clients::Reachability::kAccepts;
                                      exchange->respond({accepts ? kOk : kBadGateway, {}, {}});
                                    });
}

HttpResponse PeerRelay::formatRefusal(const HttpRefusal& refusal) {
  ++(refusal.handled ? counters_.lost : counters_.refused);
  return failureResponse(refusal.head, {},
                         refusal.handled ? relay_headers::kLost : relay_headers::kRefused,
                         refusal.reason.detail, clients::RunEnd::kNotShown);
}

void PeerRelay::respondFailure(const HttpExchangePtr& exchange, std::string_view failure,
                               std::string_view why, clients::RunEnd runEnd) {
  exchange->respond(failureResponse(exchange->request(), exchange->peer(), failure, why, runEnd));
}

HttpResponse PeerRelay::failureResponse(const HttpRequest& request, const base::Endpoint& peer,
                                        std::string_view failure, std::string_view why,
                                        clients::RunEnd runEnd) {
  environment_.log.write(base::Event::kPeerRequestFailed,
                         {{"replica", std::string{request.header(relay_headers::kReplica)}},
                          {"failure", std::string{failure}},
                          {"why", std::string{why}},
                          {"ended_by", std::string{clients::toString(runEnd)}},
                          {"from", base::toString(peer)}});
  HttpResponse response{
      kBadGateway, {{std::string{relay_headers::kFailure}, std::string{failure}}}, {}};
  if (runEnd == clients::RunEnd::kConnectionEnded)
    response.headers.push_back({std::string{relay_headers::kRunEnded}, "1"});
  const auto idHeader = environment_.dialect.requestIdHeader();
  const auto id = request.header(idHeader);
  if (!id.empty()) response.headers.push_back({std::string{idHeader}, std::string{id}});
  return response;
}

void PeerRelay::pass(const HttpExchangePtr& exchange, const routing::ReplicaRecordPtr& replica) {
  const auto call = std::make_shared<Call>(*this, exchange, replica);
  calls_.emplace(call.get(), call);
  call->begin();
}

void PeerRelay::onEnded(Call& call) { calls_.erase(&call); }

void PeerRelay::endRequests() {
  refuseNewRequests();
  std::vector<std::shared_ptr<Call>> open;
  open.reserve(calls_.size());
  for (const auto& [key, call] : calls_) open.push_back(call);
  for (const auto& call : open) call->giveUp();
}

}  // namespace covewing::live
