#include "tools/covewing_bench_live_load.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "emulator/expected_answer.h"
#include "live/sse_parser.h"

namespace covewing::tools {

using base::Duration;
using base::TimePoint;

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr unsigned kStatusOk = 200;
constexpr std::string_view kStreamEndMarker = "[DONE]";
/// Size of the text of one token that an emulated engine generates.
constexpr std::size_t kTokenBytes = 8;
/// How long the run waits for open streams to end after it has stopped starting new ones.
constexpr Duration kDrainTimeout = std::chrono::seconds(60);
constexpr Duration kInactivityTimeout = std::chrono::seconds(30);

}  // namespace

/// One stream and the measurement of its token latencies.
class LiveLoad::Stream {
 public:
  Stream(LiveLoad& owner, std::uint64_t number, LiveMeasurements& measurements)
      : owner_(owner),
        number_(number),
        measurements_(measurements),
        startedAt_(owner.clock_.now()) {
    ++measurements_.started;
  }
  virtual ~Stream() = default;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

 protected:
  void recordToken() {
    const TimePoint now = owner_.clock_.now();
    Quantiles& sample = tokens_ == 0 ? measurements_.firstToken : measurements_.betweenTokens;
    sample.add(base::toMilliseconds(now - (tokens_ == 0 ? startedAt_ : lastTokenAt_)));
    lastTokenAt_ = now;
    ++tokens_;
    ++measurements_.tokens;
  }
  /// Counts this stream as ended and schedules its destruction, so that the calling handler can
  /// still return.
  void finish(bool complete) {
    owner_.timers_.schedule(Duration::zero(), [&owner = owner_, number = number_, complete] {
      owner.onStreamEnded(number, complete);
    });
    ++(complete ? measurements_.complete : measurements_.failed);
  }
  LiveLoad& owner() { return owner_; }

 private:
  using Quantiles = bench::Quantiles;

  LiveLoad& owner_;
  std::uint64_t number_;
  LiveMeasurements& measurements_;
  TimePoint startedAt_;
  TimePoint lastTokenAt_;
  std::uint64_t tokens_ = 0;
};

/// A stream that is requested from a node over the public API, as a caller does.
class LiveLoad::NodeStream final : public Stream, public live::HttpCallHandler {
 public:
  NodeStream(LiveLoad& owner, std::uint64_t number, const base::Endpoint& node,
             const std::string& prompt)
      : Stream(owner, number, owner.throughNodes_), record_(owner.history_.calls.size()) {
    sim::CallRecord& call = owner.history_.calls.emplace_back();
    call.number = number;
    call.model = owner.options_.model;
    call.promptHash = emulator::promptHash(prompt);
    call.maximumTokens = owner.options_.maximumTokens;
    call.submittedAt = owner.clock_.now();
    const nlohmann::json body = {{"model", owner.options_.model},
                                 {"prompt", prompt},
                                 {"stream", true},
                                 {"max_tokens", owner.options_.maximumTokens}};
    live::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers = {{"Authorization", "Bearer " + owner.options_.bearerKey},
                       {"Content-Type", "application/json"}};
    request.body = body.dump();
    call_ = owner.http_.start(node, request, kInactivityTimeout, *this);
  }

  void onHead(const live::HttpResponse& head) override {
    refused_ = head.status != kStatusOk;
    record().requestId.value = head.header(live::kRequestIdHeader);
  }
  void onBody(std::string_view bytes) override {
    if (refused_) {
      errorBody_ += bytes;
      return;
    }
    parser_.feed(bytes);
    while (const auto event = parser_.next()) onEvent(*event);
  }
  void onComplete() override {
    if (refused_) recordRefusal();
    end(refused_ ? sim::CallEnding::kRefused
        : done_  ? sim::CallEnding::kComplete
                 : sim::CallEnding::kNodeLost);
  }
  void onFailure(clients::DispatchError /*error*/) override { end(sim::CallEnding::kNodeLost); }

 private:
  sim::CallRecord& record() { return owner().history_.calls[record_]; }

  void onEvent(const std::string& event) {
    if (event == kStreamEndMarker) {
      done_ = true;
      return;
    }
    const auto json = nlohmann::json::parse(event, nullptr, false);
    if (!json.is_object()) return;
    if (json.contains("usage") && json["usage"].is_object()) {
      record().end.outputTokens = json["usage"].value("completion_tokens", 0U);
    }
    if (!json.contains("choices") || json["choices"].empty()) return;
    const std::string text = json["choices"][0].value("text", "");
    for (std::size_t begin = 0; begin < text.size(); begin += kTokenBytes) {
      record().chunks.push_back({record().chunks.size(), text.substr(begin, kTokenBytes)});
      recordToken();
    }
  }

  void recordRefusal() {
    const auto json = nlohmann::json::parse(errorBody_, nullptr, false);
    const bool notRun = json.is_object() && json.contains("error") && json["error"].is_object() &&
                        json["error"].value("outcome", "") == "not-run";
    record().refusal.outcome = notRun ? request::Outcome::kNotRun : request::Outcome::kUnknown;
  }

  void end(sim::CallEnding ending) {
    record().ending = ending;
    record().endedAt = owner().clock_.now();
    finish(ending == sim::CallEnding::kComplete);
  }

  std::size_t record_;
  live::SseParser parser_;
  std::string errorBody_;
  bool refused_ = false;
  bool done_ = false;
  std::unique_ptr<live::HttpCall> call_;
};

/// A stream that is requested directly from an engine, as a baseline without a node.
class LiveLoad::DirectStream final : public Stream, public clients::EngineStreamHandler {
 public:
  DirectStream(LiveLoad& owner, std::uint64_t number, const clients::BackEndAddress& engine,
               std::shared_ptr<const std::string> prompt)
      : Stream(owner, number, owner.directToEngines_) {
    clients::EngineRequest request;
    request.requestId.value = "bench-" + std::to_string(number);
    request.identity.tenantSalt = owner.options_.seed;
    request.identity.model = owner.options_.model;
    request.identity.weightsVersion = owner.weightsVersion_;
    request.prompt = std::move(prompt);
    request.maximumTokens = owner.options_.maximumTokens;
    stream_ = owner.engines_.start(engine, std::move(request), *this);
  }
  void onAccepted() override {}
  void onChunk(clients::StreamChunk /*chunk*/) override { recordToken(); }
  void onEnd(clients::StreamEnd /*end*/) override { finish(true); }
  void onError(clients::DispatchError /*error*/) override { finish(false); }

 private:
  std::unique_ptr<clients::EngineStream> stream_;
};

LiveLoad::LiveLoad(boost::asio::io_context& context, const LiveOptions& options)
    : context_(context),
      options_(options),
      timers_(context),
      http_(context, {.idleConnectionsPerEndpoint = options.streams + 64U}),
      engines_(http_, timers_),
      random_(options.seed),
      shared_(bench::promptText(options.seed, options.sharedTokens)) {}

LiveLoad::~LiveLoad() = default;

void LiveLoad::run() {
  fetchWeightsVersion();
  startedAt_ = clock_.now();
  endedAt_ = startedAt_;
  if (options_.rate > 0) {
    scheduleOpenLoop();
  } else {
    for (std::uint32_t stream = 0; stream < options_.streams; ++stream) startNext();
  }
  const TimePoint last = startedAt_ + options_.duration + kDrainTimeout;
  while ((mayStart() || !open_.empty()) && clock_.now() < last) {
    context_.run_one_for(std::chrono::milliseconds(100));
  }
}

void LiveLoad::fetchWeightsVersion() {
  if (options_.engines.empty()) return;
  bool reportReceived = false;
  engines_.poll(options_.engines.front(), 0,
                [this, &reportReceived](const std::optional<clients::EngineReport>& report) {
                  reportReceived = true;
                  if (!report.has_value()) return;
                  for (const clients::LoadedWeights& weights : report->weights) {
                    if (weights.model == options_.model) weightsVersion_ = weights.version;
                  }
                });
  while (!reportReceived) context_.run_one();
}

bool LiveLoad::mayStart() const { return clock_.now() < startedAt_ + options_.duration; }

std::shared_ptr<const std::string> LiveLoad::makePrompt() {
  const bench::PromptSegment ownText = bench::promptText(random_.next(), options_.ownTokens);
  return std::make_shared<const std::string>(*shared_ + *ownText);
}

void LiveLoad::startNext() {
  if (!mayStart()) return;
  const std::uint64_t number = nextStream_++;
  const bool direct = !options_.engines.empty() && number % 2 == 1;
  const std::uint64_t turn = options_.engines.empty() ? number : number / 2;
  auto prompt = makePrompt();
  if (direct) {
    const auto& engine = options_.engines[turn % options_.engines.size()];
    open_[number] = std::make_unique<DirectStream>(*this, number, engine, std::move(prompt));
  } else {
    const base::Endpoint& node = options_.nodes[turn % options_.nodes.size()];
    open_[number] = std::make_unique<NodeStream>(*this, number, node, *prompt);
  }
  peakOpen_ = std::max(peakOpen_, open_.size());
}

void LiveLoad::scheduleOpenLoop() {
  if (!mayStart()) return;
  startNext();
  const Duration gap{static_cast<Duration::rep>(kMicrosecondsPerSecond / options_.rate)};
  const TimePoint due = startedAt_ + gap * static_cast<Duration::rep>(nextStream_);
  timers_.schedule(due - clock_.now(), [this] { scheduleOpenLoop(); });
}

void LiveLoad::onStreamEnded(std::uint64_t number, bool /*complete*/) {
  open_.erase(number);
  endedAt_ = clock_.now();
  if (options_.rate <= 0) startNext();
}

}  // namespace covewing::tools
