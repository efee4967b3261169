#include "emulator/application_model.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "emulator/hexadecimal.h"

namespace covewing::emulator {

using base::Reason;
using base::ResultCode;
using clients::ApplicationRequest;
using clients::ApplicationResponse;
using clients::DispatchError;
using clients::DispatchFailure;

namespace {
constexpr unsigned kStatusOk = 200;
constexpr std::string_view kIdempotencyKey = "idempotency-key";

bool equalIgnoringCase(std::string_view left, std::string_view right) {
  const auto lower = [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
  };
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [&](char first, char second) { return lower(first) == lower(second); });
}

std::string headerValue(const ApplicationRequest& request, std::string_view name) {
  for (const clients::HeaderField& field : request.headers) {
    if (equalIgnoringCase(field.name, name)) return field.value;
  }
  return {};
}
}  // namespace

std::string expectedApplicationBody(const ApplicationRequest& request, const std::string& replica,
                                    std::uint64_t number) {
  const nlohmann::json body = {{"request_id", request.requestId.value},
                               {"method", request.method},
                               {"target", request.target},
                               {"body_hash", toHexadecimal(base::hashName(request.body))},
                               {"replica", replica},
                               {"execution", number}};
  // Bytes that are no UTF-8 are replaced: the target is the caller's.
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

ApplicationModel::ApplicationModel(const ApplicationModelOptions& options,
                                   ExecutionObserver* observer, const base::Clock& clock,
                                   base::TimerService& timers, base::RandomSource& random)
    : options_(options),
      observer_(observer),
      clock_(clock),
      timers_(timers),
      random_(random),
      id_(base::engineIdOf(options.name)) {}

ApplicationModel::~ApplicationModel() {
  for (const auto& [id, call] : calls_) timers_.cancel(call.timer);
}

bool ApplicationModel::draw(double probability) {
  return probability > 0.0 && random_.unit() < probability;
}

base::Duration ApplicationModel::halfServiceTime() {
  return random_.jittered(options_.serviceTime / 2, options_.serviceJitter);
}

void ApplicationModel::whenAwake(std::function<void()> action) {
  if (paused_) {
    deferred_.push_back(std::move(action));
    return;
  }
  action();
}

void ApplicationModel::call(ApplicationRequest request, Callback callback) {
  if (!up_) {
    callback(DispatchError{DispatchFailure::kNotSent,
                           Reason{ResultCode::kBackEndUnreachable, "application is down"}});
    return;
  }
  whenAwake([this, request = std::move(request), callback = std::move(callback)] {
    accept(request, callback);
  });
}

void ApplicationModel::accept(ApplicationRequest request, const Callback& callback) {
  if (leaving_ || draw(options_.faults.refuse)) {
    callback(DispatchError{DispatchFailure::kRefusedNotRun,
                           leaving_ ? Reason{ResultCode::kBackEndLeaving, "application is leaving"}
                                    : Reason{ResultCode::kBackEndRefused, "application is busy"}});
    return;
  }
  const CallId id = ++lastCall_;
  calls_.emplace(id, Call{std::move(request), callback, {}, 0});
  after(halfServiceTime(), id, &ApplicationModel::execute);
}

void ApplicationModel::after(base::Duration delay, CallId call,
                             void (ApplicationModel::*step)(CallId)) {
  calls_.at(call).timer = timers_.schedule(delay, [this, call, step] {
    whenAwake([this, call, step] {
      if (calls_.contains(call)) (this->*step)(call);
    });
  });
}

void ApplicationModel::execute(CallId id) {
  Call& call = calls_.at(id);
  const ApplicationRequest& request = call.request;
  ++executions_;
  if (observer_ != nullptr) {
    observer_->onApplicationExecuted(
        ApplicationExecution{id_, options_.application, request.requestId, request.attempt,
                             request.method, request.target, headerValue(request, kIdempotencyKey),
                             base::hashName(request.body), executions_});
  }
  call.response.requestId = request.requestId;
  call.response.status = kStatusOk;
  call.response.headers = {{"Content-Type", "application/json"}};
  call.response.body = expectedApplicationBody(request, options_.name, executions_);
  after(halfServiceTime(), id, &ApplicationModel::becomeReady);
}

void ApplicationModel::becomeReady(CallId id) {
  if (draw(options_.faults.loseAnswer)) {
    const Callback callback = std::move(calls_.at(id).callback);
    calls_.erase(id);
    callback(DispatchError{DispatchFailure::kOutcomeUnknown,
                           Reason{ResultCode::kBackEndLost, "connection closed"}});
    return;
  }
  if (draw(options_.faults.delayAnswer)) {
    after(options_.faults.delay, id, &ApplicationModel::crossOrAnswer);
    return;
  }
  crossOrAnswer(id);
}

void ApplicationModel::crossOrAnswer(CallId id) {
  if (waitingForPartner_ != 0) {
    const CallId partner = std::exchange(waitingForPartner_, 0);
    std::swap(calls_.at(partner).response, calls_.at(id).response);
    timers_.cancel(calls_.at(partner).timer);
    answer(partner);
    if (calls_.contains(id)) answer(id);
    return;
  }
  if (draw(options_.faults.crossAnswer)) {
    waitingForPartner_ = id;
    after(options_.faults.delay, id, &ApplicationModel::stopWaitingForPartner);
    return;
  }
  answer(id);
}

void ApplicationModel::stopWaitingForPartner(CallId id) {
  waitingForPartner_ = 0;
  answer(id);
}

void ApplicationModel::answer(CallId id) {
  const Call call = std::move(calls_.at(id));
  calls_.erase(id);
  const bool repeat = draw(options_.faults.repeatAnswer);
  call.callback(call.response);
  if (repeat) call.callback(call.response);
}

void ApplicationModel::crash() {
  if (!up_) return;
  up_ = false;
  paused_ = false;
  waitingForPartner_ = 0;
  deferred_.clear();
  const std::map<CallId, Call> lost = std::exchange(calls_, {});
  for (const auto& [id, call] : lost) timers_.cancel(call.timer);
  for (const auto& [id, call] : lost) {
    call.callback(DispatchError{DispatchFailure::kOutcomeUnknown,
                                Reason{ResultCode::kBackEndLost, "application crashed"}});
  }
}

void ApplicationModel::restart() {
  if (up_) crash();
  up_ = true;
  leaving_ = false;
}

void ApplicationModel::pause() {
  if (up_) paused_ = true;
}

void ApplicationModel::resume() {
  paused_ = false;
  const std::vector<std::function<void()>> actions = std::exchange(deferred_, {});
  for (const auto& action : actions) {
    if (up_) action();
  }
}

}  // namespace covewing::emulator
