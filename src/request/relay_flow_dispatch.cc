// RelayFlow: dispatches an attempt, with the last checks, the metadata sent to the replica, and the
// log entry.
#include <algorithm>
#include <utility>

#include "request/relay_flow.h"
#include "request/relay_flow_internal.h"

namespace covewing::request {

namespace {

/// Identifier of the deepest shared part of the prompt, which is the same on all nodes; empty if
/// there is none.
std::string sharedPart(const IncomingRequest& incoming) {
  if (!incoming.prompt) return {};
  const auto part = incoming.prompt->chain.deepestShared();
  return part ? std::to_string(*part) : std::string{};
}

/// Identifiers of all shared parts of the prompt in their order, separated by spaces.
std::string sharedParts(const IncomingRequest& incoming) {
  if (!incoming.prompt) return {};
  const auto& chain = incoming.prompt->chain;
  std::string text;
  for (std::size_t part = 0; part < chain.sharedParts(); ++part) {
    if (part > 0) text += ' ';
    text += std::to_string(chain.parts()[part].id);
  }
  return text;
}

}  // namespace

clients::DispatchTerms RelayFlow::termsFor(const routing::ReplicaDecision& decision) const {
  clients::DispatchTerms terms{routing::targetOf(decision.replica->facts())};
  if (decision.version > 0) terms.expectedVersion = decision.version;
  terms.timeLeft = timeLeft();
  terms.priority = urgency();
  terms.tenant = tenantName();
  terms.cacheSalt = decision.cacheSalt;
  if (decision.fetchFrom) terms.fetchFrom = decision.fetchFrom->endpoint;
  terms.saveTo = decision.saveTo;
  terms.lastEventId = body_.lastEventId().empty() ? incoming_.lastEventId : body_.lastEventId();
  return terms;
}

bool RelayFlow::withinRateLimit(const routing::ReplicaRecord& replica,
                                const routing::PlacementGrant& grant) const {
  const bool limited = replica.notices().rateLimit().perSecond().has_value();
  return !limited || grant.validForRateLimit(dependencies_.clock.now());
}

bool RelayFlow::servesKnownVersion(const routing::ReplicaRecord& replica) const {
  if (resumable() && replica.mayBeReplaced(dependencies_.clock.now())) return false;
  return !softwareVersion_ || replica.facts().softwareVersion == *softwareVersion_;
}

void RelayFlow::dispatch(routing::ReplicaDecision decision, const routing::PlacementGrant& grant) {
  const auto now = dependencies_.clock.now();
  if (ended_ || !writer_->callerConnected()) {
    dependencies_.placement.returnGrant(grant);
    onCallerDisconnected();
    return;
  }
  if (!decision.replica->acceptsRequests(now)) {
    // The replica was chosen or granted before it reported that it accepts no more requests.
    dependencies_.placement.returnGrant(grant);
    choose();
    return;
  }
  if (!servesKnownVersion(*decision.replica)) {
    dependencies_.placement.returnGrant(grant);
    choose();
    return;
  }
  if (!withinRateLimit(*decision.replica, grant)) {
    dependencies_.placement.returnGrant(grant);
    skippedReplicas_.push_back(decision.replica->facts().instance);
    choose();
    return;
  }
  if (timeLeft() < kMinimumAttemptTime) {
    dependencies_.placement.returnGrant(grant);
    if (replacement_) {
      keepAttempt("no time is left for another attempt");
    } else {
      onDeadline();
    }
    return;
  }
  if (tooLateForNode()) {
    dependencies_.placement.returnGrant(grant);
    refuseBecauseNodeStops();
    return;
  }
  if (!countRetry(grant)) return;
  if (replacement_ && mustAwaitRunEnd()) {
    replacement_->accepted = AcceptedDispatch{std::move(decision), grant};
    withdrawAttempt();
    return;
  }
  if (replacement_) giveUpReplacedAttempt();
  auto& record = *decision.replica;
  const std::uint32_t totalTokens = maximumTotalTokens();
  const std::uint32_t tokens = totalTokens - std::min(totalTokens, decision.matchedTokens);
  record.onDispatched(tokens);
  const std::uint32_t prompt = promptTokens();
  const std::uint32_t prefillTokens = prompt - std::min(prompt, decision.heldTokens());
  record.addPendingPrefill(prefillTokens);
  const auto expectedPrefillTime = record.prefillSpeed().time(prefillTokens);
  record.health().onDispatched(now, expectedPrefillTime);
  const bool isProbe = record.notices().beginProbe();
  ++dispatches_;
  if (retryCause_) ++retries_.at(static_cast<std::size_t>(*retryCause_));
  heldFor_ = now - incoming_.arrivedAt;
  lastReplica_ = record.facts().instance;
  lastStream_ = {};
  allowance_.onDispatch(executions_);
  countTokens(decision);
  attempt_ = Attempt{std::move(decision),
                     now,
                     tokens,
                     prefillTokens,
                     expectedPrefillTime,
                     false,
                     false,
                     headDelivered_,
                     std::nullopt,
                     grant,
                     routing::PlacementOutcome::kWithdrawn,
                     {},
                     isProbe,
                     false,
                     std::nullopt,
                     {},
                     std::nullopt,
                     std::nullopt};
  reportStreamOrigin();
  const auto relay = chooseRelay();
  logDispatch(relay);
  armReceiveTimeout();
  armStartDeadline();
  send(relay);
}

void RelayFlow::logDispatch(const std::optional<routing::RelayPeer>& relay) const {
  const auto now = dependencies_.clock.now();
  const auto& decision = attempt_->decision;
  const auto& grant = attempt_->grant;
  const auto terms = termsFor(decision);
  const auto& record = *decision.replica;
  const auto& limit = record.notices().rateLimit();
  dependencies_.log.write(
      base::Event::kRelayDispatched,
      {{"request", incoming_.request->id},
       {"fingerprint", base::toString(fingerprint_)},
       {"route", assignment_.route->name},
       {"tenant", terms.tenant},
       {"urgency", std::to_string(urgency())},
       {"held_ms", millisecondsText(heldFor_)},
       {"read_after_ms", millisecondsText(incoming_.readDelay)},
       {"counted", std::to_string(assignment_.demand ? assignment_.demand->tokens : 0)},
       {"replica", record.facts().instance},
       {"state", std::string{record.stateName(now)}},
       {"via", relay ? base::toString(relay->endpoint) : std::string{}},
       {"read_ms", millisecondsText(now - record.facts().readAt)},
       {"limit", routing::rateLimitText(limit.perSecond())},
       {"limit_age_ms", limit.perSecond() ? millisecondsText(now - limit.asOf()) : std::string{}},
       {"attempt", std::to_string(dispatches_)},
       {"cause", retryCause_ ? std::string{toString(*retryCause_)} : "first"},
       {"configuration", std::to_string(assignment_.table->version())},
       {"confirmed_ms",
        assignment_.confirmedAt ? millisecondsText(now - *assignment_.confirmedAt) : std::string{}},
       {"software", record.facts().softwareVersion},
       {"weights", std::to_string(decision.version)},
       {"begin_in_ms",
        decision.startDeadline ? millisecondsText(*decision.startDeadline - now) : std::string{}},
       {"salt", decision.cacheSalt},
       {"rank", std::to_string(decision.rank)},
       {"candidates", std::to_string(decision.candidates)},
       {"home", base::toString(grant.home)},
       {"paced", grant.paced ? "yes" : "no"},
       {"homes_asked", std::to_string(decision.homesAsked)},
       {"wait_ms", millisecondsText(decision.expectedWait)},
       {"in_flight", std::to_string(record.inFlight())},
       {"part", sharedPart(incoming_)},
       {"parts", sharedParts(incoming_)},
       {"shared", std::to_string(incoming_.prompt ? incoming_.prompt->chain.sharedTokens() : 0)},
       {"cached", std::to_string(decision.matchedTokens)},
       {"fetch", decision.fetchFrom ? decision.fetchFrom->name : ""},
       {"fetch_tokens", std::to_string(decision.fetchFrom ? decision.fetchFrom->tokens : 0)},
       {"save", decision.saveTo ? base::toString(*decision.saveTo) : ""},
       {"left_ms", millisecondsText(terms.timeLeft)}});
}

void RelayFlow::countTokens(const routing::ReplicaDecision& decision) {
  if (!incoming_.prompt) return;
  cachedTokens_ += decision.matchedTokens;
  fetchedTokens_ += decision.heldTokens() - decision.matchedTokens;
  prefillTokens_ += sharedPrefillTokens(decision);
}

}  // namespace covewing::request
