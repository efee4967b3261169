// RelayFlow: keeps a stream with the software version that began it, within one answer and over the
// attempts of its caller.
#include <algorithm>
#include <utility>

#include "request/relay_flow.h"
#include "request/relay_flow_internal.h"

namespace covewing::request {

namespace {

/// A caller's attempts at one stream, each of which may take as long as the route allows, that are
/// assumed to lie between the attempt that began the stream and this one.
constexpr int kAssumedAttempts = 2;

}  // namespace

void RelayFlow::findStreamOrigin() {
  const bool onlyService = assignment_.route->split.size() == 1;
  dependencies_.streamOrigins.find(
      routing::streamIdOf(incoming_.resumedRequest),
      onlyService ? assignment_.service->name : std::string{},
      kAssumedAttempts * assignment_.route->timeout,
      [weak = weak_from_this()](const std::optional<routing::FoundOrigin>& origin) {
        const auto flow = weak.lock();
        if (flow && !flow->ended_) flow->onStreamOrigin(origin);
      });
}

void RelayFlow::onStreamOrigin(const std::optional<routing::FoundOrigin>& origin) {
  dependencies_.log.write(
      base::Event::kStreamOriginFound,
      {{"request", incoming_.request->id},
       {"resumes", incoming_.resumedRequest},
       {"service", origin ? origin->service : std::string{}},
       {"software", origin ? origin->softwareVersion : std::string{}},
       {"source", origin ? std::string{routing::toString(origin->source)} : std::string{}},
       {"after_ms", millisecondsText(dependencies_.clock.now() - incoming_.arrivedAt)}});
  if (!origin) {
    refuse(base::ResultCode::kStreamVersionUnknown,
           "no node knows which software version began the stream of request " +
               incoming_.resumedRequest,
           options_.retryAfterNoReplica);
    return;
  }
  if (!useService(origin->service)) {
    refuse(base::ResultCode::kStreamVersionGone,
           "the route does not lead to service " + origin->service + ", which began the stream",
           {});
    return;
  }
  softwareVersion_ = origin->softwareVersion;
  countRequest();
  choose();
}

bool RelayFlow::useService(const std::string& name) {
  const auto& split = assignment_.route->split;
  if (std::ranges::find(split, name, &config::ServiceShare::service) == split.end()) return false;
  const auto* service = assignment_.table->findService(name);
  if (service == nullptr) return false;
  assignment_.service = service;
  features_ = findFeatures();
  return true;
}

void RelayFlow::reportStreamOrigin() {
  if (!resumable() || resumesStream()) return;
  const auto& version = attempt_->decision.replica->facts().softwareVersion;
  if (std::exchange(reportedVersion_, version) == version) return;
  dependencies_.streamOrigins.report(routing::streamIdOf(incoming_.request->id),
                                     {assignment_.service->name, version, dispatches_},
                                     callerTimeLeft());
}

base::Duration RelayFlow::callerTimeLeft() const {
  // The caller may come back as long as it waits, which may be longer than the route allows.
  const auto waits = incoming_.deadline.value_or(assignment_.route->timeout);
  return waits - (dependencies_.clock.now() - incoming_.arrivedAt);
}

void RelayFlow::storeStreamOrigin() {
  if (!resumable() || resumesStream()) return;
  dependencies_.streamOrigins.onFirstEvent(
      routing::streamIdOf(incoming_.request->id),
      {assignment_.service->name, *softwareVersion_, dispatches_}, callerTimeLeft());
}

void RelayFlow::refuseWithoutSoftwareVersion() {
  const auto why = "no replica of software version " + *softwareVersion_ + " is in service";
  if (replacement_) {
    keepAttempt(why);
  } else if (headDelivered_) {
    abortStream(why);
  } else if (executions_ > 0) {
    refuse(base::ResultCode::kBackEndLost, why, {});
  } else {
    refuse(base::ResultCode::kStreamVersionGone, why, {});
  }
}

}  // namespace covewing::request
