#include "live/relay_gateway.h"

#include <utility>

namespace covewing::live {

namespace {

class ExchangeResponseWriter final : public request::ResponseWriter {
 public:
  ExchangeResponseWriter(HttpExchangePtr exchange, const RelayDialect& dialect)
      : exchange_(std::move(exchange)), dialect_(dialect) {}

  void begin(const clients::RelayedAnswer& answer) override {
    exchange_->beginStream(answer.status, answer.headers, answer.length);
  }
  void write(std::string_view bytes) override { exchange_->write(bytes); }
  void end() override { exchange_->end(); }
  void refuse(const request::RelayRefusal& refusal) override {
    if (refusal.closeConnection) exchange_->closeAfterResponse();
    exchange_->respond(
        dialect_.refusal(refusal, exchange_->request().header(dialect_.requestIdHeader())));
  }
  void abort() override { exchange_->abort(); }
  bool callerConnected() const override { return exchange_->peerConnected(); }
  void onPressure(std::function<void(bool)> listener) override {
    exchange_->onPressure(std::move(listener));
  }

 private:
  HttpExchangePtr exchange_;
  const RelayDialect& dialect_;
};

}  // namespace

void RelayGateway::handle(const HttpExchangePtr& exchange) {
  if (!exchange->peerConnected()) {
    log_.write(base::Event::kCallerDisconnected,
               {{"request", std::string{exchange->request().header(dialect_.requestIdHeader())}},
                {"read_after_ms", base::millisecondsText(exchange->readDelay())}});
    exchange->abort();
    return;
  }
  base::Reason reason;
  auto incoming = dialect_.readRequest(exchange->request(), exchange->takeBody(),
                                       exchange->startedAt(), reason);
  auto writer = std::make_unique<ExchangeResponseWriter>(exchange, dialect_);
  if (!incoming) {
    const auto status = base::describe(reason.code).httpStatus;
    log_.write(base::Event::kRequestRefused,
               {{"request", std::string{exchange->request().header(dialect_.requestIdHeader())}},
                {"code", std::to_string(static_cast<unsigned>(reason.code))},
                {"status", std::to_string(status)},
                {"why", reason.detail}});
    writer->refuse({reason, status, {}, false});
    return;
  }
  incoming->readDelay = exchange->readDelay();
  const auto flow = service_.begin(std::move(*incoming), std::move(writer));
  if (flow.expired()) return;
  exchange->onDisconnect([flow] {
    if (const auto open = flow.lock()) open->onCallerDisconnected();
  });
}

}  // namespace covewing::live
