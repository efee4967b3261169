#include "live/relay_metrics.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "live/metric_families.h"
#include "live/process_usage.h"

namespace covewing::live {

namespace {

using Labels = std::map<std::string, std::string>;

constexpr MetricEntry kTable[] = {
    {"covewing_caller_connections", "gauge", "", "open connections of callers"},
    {"covewing_caller_connections_closed_total", "counter", "",
     "connections of callers that were closed to make room for new ones"},
    {"covewing_caller_connections_maximum", "gauge", "",
     "maximum of open connections of callers, by the descriptors of the process"},
    {"covewing_configuration_age_seconds", "gauge", "",
     "time since the configuration was last confirmed as the newest; -1 when it never was"},
    {"covewing_configuration_version", "gauge", "", "version of the route table in force"},
    {"covewing_events_total", "counter", "event",
     "log events by name (docs/EVENTS.md): retries, refusals, broken streams, orders and others"},
    {"covewing_failed_links", "gauge", "",
     "replicas that this node does not reach by connections of its own"},
    {"covewing_held_bytes", "gauge", "class",
     "memory held for others: ordinary requests, larger bodies, responses that were not read, and "
     "what other listeners received"},
    {"covewing_known_cached_parts", "gauge", "",
     "cached parts of prompts that this node knows a holder of"},
    {"covewing_lease_held", "gauge", "", "1 while this node rolls out weights, else 0"},
    {"covewing_longest_timer_delay_seconds", "gauge", "",
     "how late a timer ran at most since the metrics were last read: for so long the event loop "
     "was "
     "busy with other work, or the process paused"},
    {"covewing_members", "gauge", "", "live members, this node included"},
    {"covewing_open_requests", "gauge", "", "requests in flight, held ones included"},
    {"covewing_pause_seconds", "histogram", "",
     "pauses of the process that were noticed: frozen, or on a suspended machine"},
    {"covewing_peer_requests_total", "counter", "outcome",
     "requests of other nodes that this node was to pass on to replicas: answered, refused here, "
     "replica unreachable, connection to it lost, cancelled by the other node"},
    {"covewing_peer_sent_bytes_total", "counter", "channel, zone",
     "bytes of messages sent to other nodes, to those of the own zone and to others"},
    {"covewing_placement_questions_total", "counter", "outcome",
     "questions to homes of replicas where a request should go: all asked, and what came of them"},
    {"covewing_process_cpu_seconds_total", "counter", "", "processor time of the process"},
    {"covewing_process_resident_bytes", "gauge", "", "resident memory of the process"},
    {"covewing_quarantined_part_refusals_total", "counter", "part",
     "requests refused for a part of their prompt, by part as in event 5008; parts beyond the "
     "first 64 are counted as other"},
    {"covewing_quarantined_parts", "gauge", "",
     "parts of prompts with which requests are refused because replicas ended under earlier ones"},
    {"covewing_quarantined_requests", "gauge", "",
     "requests that are refused because replicas ended under earlier runs of them"},
    {"covewing_queue_events_total", "counter", "event",
     "requests at the queues of the replicas that this node is home to: granted or refused when "
     "they asked or later, withdrawn by their nodes, sent elsewhere because the replica or its "
     "home changed"},
    {"covewing_queue_length", "gauge", "",
     "requests that wait now for the replicas that this node is home to"},
    {"covewing_queue_wait_seconds_total", "counter", "urgency",
     "time that requests waited in these queues until they were granted, by urgency; the last one "
     "counts all less urgent ones as well"},
    {"covewing_queue_waits_total", "counter", "urgency",
     "requests that waited in these queues until they were granted, by urgency"},
    {"covewing_quota_messages_total", "counter", "kind",
     "messages about tenants' limits: questions to homes, answers as a home, corrections, homes "
     "passed over as silent, requests granted from this node's own share"},
    {"covewing_quota_refusals_total", "counter", "priority",
     "requests refused because their tenant's limit was used up, by the tenant's priority"},
    {"covewing_read_delay_seconds", "histogram", "",
     "time for which callers' requests lay unread at this node"},
    {"covewing_ready", "gauge", "", "1 while the node says that it is ready, else 0"},
    {"covewing_relay_attempts_total", "counter", "kind", "dispatches to replicas"},
    {"covewing_relay_first_byte_seconds", "histogram", "kind",
     "time from a request's arrival to the first byte of its answer"},
    {"covewing_relay_prompt_tokens_total", "counter", "source",
     "shared tokens of dispatched prompts: cached at the replica, fetched from another holder, or "
     "read anew, as the node expected"},
    {"covewing_relay_request_seconds", "histogram", "kind",
     "time from a request's arrival to the end of its answer"},
    {"covewing_relay_requests_total", "counter", "kind, code",
     "finished requests by kind of route and name of the result code (docs/CODES.md)"},
    {"covewing_relay_retries_total", "counter", "cause, service",
     "dispatches after a request's first: refused or failed by the replica, lost, silent, "
     "withdrawn "
     "because the weights were out of date, or never arrived there (no part of the retry bound)"},
    {"covewing_replicas", "gauge", "state",
     "listed replicas: available, draining (also by their own answers), resting (they want no "
     "requests "
     "of this node for a while), ejected, changing weights; limited ones count as well in one of "
     "the "
     "others"},
    {"covewing_requests_not_received_total", "counter", "",
     "requests and messages that were dropped or refused for want of memory while they arrived"},
    {"covewing_store_era", "gauge", "",
     "era of the table service's history that this node knows; it rises when the service comes "
     "back "
     "from a copy"},
};

constexpr std::array<std::string_view, 3> kKindNames = {"idempotent", "non_idempotent",
                                                        "streaming"};

const prometheus::Histogram::BucketBoundaries kSecondsBuckets = {0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
                                                                 0.8,  1,     2.5,  5,   10,   30};

/// Priorities less urgent than the least urgent one known to replicas are counted as that one.
std::string priorityLabel(std::optional<std::uint32_t> priority) {
  constexpr std::uint32_t kLeastUrgent = 9;
  return priority ? std::to_string(std::min(*priority, kLeastUrgent)) : "none";
}

Labels kindLabel(const config::Route& route) {
  return {{"kind", std::string{kKindNames.at(static_cast<std::size_t>(route.kind))}}};
}

}  // namespace

std::span<const MetricEntry> relayMetricTable() { return kTable; }

struct RelayMetrics::Impl {
  void countRetries(const request::RelayOutcome& outcome);
  void countPartRefusal(const std::string& part);
  void renderQueues(const routing::PlacementCounters& placement);

  MetricFamilies families{kTable};
  prometheus::Gauge& connections = families.gauges("covewing_caller_connections").Add({});
  prometheus::Counter& connectionsClosed =
      families.counters("covewing_caller_connections_closed_total").Add({});
  prometheus::Gauge& maximumConnections =
      families.gauges("covewing_caller_connections_maximum").Add({});
  prometheus::Gauge& age = families.gauges("covewing_configuration_age_seconds").Add({});
  prometheus::Gauge& version = families.gauges("covewing_configuration_version").Add({});
  prometheus::Family<prometheus::Counter>& events = families.counters("covewing_events_total");
  prometheus::Gauge& failedLinks = families.gauges("covewing_failed_links").Add({});
  prometheus::Family<prometheus::Gauge>& heldBytes = families.gauges("covewing_held_bytes");
  prometheus::Gauge& knownParts = families.gauges("covewing_known_cached_parts").Add({});
  prometheus::Gauge& quarantinedParts = families.gauges("covewing_quarantined_parts").Add({});
  prometheus::Family<prometheus::Counter>& partRefusals =
      families.counters("covewing_quarantined_part_refusals_total");
  /// The parts that have a label.
  std::set<std::string> labelledParts;
  prometheus::Gauge& quarantinedRequests = families.gauges("covewing_quarantined_requests").Add({});
  prometheus::Gauge& leaseHeld = families.gauges("covewing_lease_held").Add({});
  prometheus::Gauge& members = families.gauges("covewing_members").Add({});
  prometheus::Gauge& longestTimerDelay =
      families.gauges("covewing_longest_timer_delay_seconds").Add({});
  prometheus::Gauge& openRequests = families.gauges("covewing_open_requests").Add({});
  prometheus::Histogram& pauses =
      families.histograms("covewing_pause_seconds").Add({}, kSecondsBuckets);
  prometheus::Family<prometheus::Counter>& peerRequests =
      families.counters("covewing_peer_requests_total");
  prometheus::Family<prometheus::Counter>& peerBytes =
      families.counters("covewing_peer_sent_bytes_total");
  prometheus::Family<prometheus::Counter>& placementQueries =
      families.counters("covewing_placement_questions_total");
  prometheus::Counter& processor = families.counters("covewing_process_cpu_seconds_total").Add({});
  prometheus::Gauge& resident = families.gauges("covewing_process_resident_bytes").Add({});
  prometheus::Family<prometheus::Counter>& queueEvents =
      families.counters("covewing_queue_events_total");
  prometheus::Gauge& queueLength = families.gauges("covewing_queue_length").Add({});
  prometheus::Family<prometheus::Counter>& queueWaitSeconds =
      families.counters("covewing_queue_wait_seconds_total");
  prometheus::Family<prometheus::Counter>& queueWaits =
      families.counters("covewing_queue_waits_total");
  prometheus::Family<prometheus::Counter>& quotaMessages =
      families.counters("covewing_quota_messages_total");
  prometheus::Family<prometheus::Counter>& quotaRefusals =
      families.counters("covewing_quota_refusals_total");
  prometheus::Histogram& readDelays =
      families.histograms("covewing_read_delay_seconds").Add({}, kSecondsBuckets);
  prometheus::Gauge& ready = families.gauges("covewing_ready").Add({});
  prometheus::Family<prometheus::Counter>& attempts =
      families.counters("covewing_relay_attempts_total");
  prometheus::Family<prometheus::Histogram>& firstByte =
      families.histograms("covewing_relay_first_byte_seconds");
  prometheus::Family<prometheus::Counter>& tokens =
      families.counters("covewing_relay_prompt_tokens_total");
  prometheus::Family<prometheus::Histogram>& duration =
      families.histograms("covewing_relay_request_seconds");
  prometheus::Family<prometheus::Counter>& requests =
      families.counters("covewing_relay_requests_total");
  prometheus::Family<prometheus::Counter>& retries =
      families.counters("covewing_relay_retries_total");
  prometheus::Family<prometheus::Gauge>& replicas = families.gauges("covewing_replicas");
  prometheus::Counter& requestsNotReceived =
      families.counters("covewing_requests_not_received_total").Add({});
  prometheus::Gauge& storeEra = families.gauges("covewing_store_era").Add({});
};

RelayMetrics::RelayMetrics() : impl_(std::make_unique<Impl>()) {}
RelayMetrics::~RelayMetrics() = default;

void RelayMetrics::onRelayFinished(const config::Route& route,
                                   const request::RelayOutcome& outcome) {
  auto labels = kindLabel(route);
  impl_->attempts.Add(labels).Increment(outcome.attempts);
  impl_->countRetries(outcome);
  if (outcome.timeToFirstByte > base::Duration::zero()) {
    impl_->firstByte.Add(labels, kSecondsBuckets).Observe(base::toSeconds(outcome.timeToFirstByte));
  }
  impl_->duration.Add(labels, kSecondsBuckets).Observe(base::toSeconds(outcome.duration));
  impl_->tokens.Add({{"source", "cached"}}).Increment(outcome.cachedTokens);
  impl_->tokens.Add({{"source", "fetched"}}).Increment(outcome.fetchedTokens);
  impl_->tokens.Add({{"source", "read"}}).Increment(outcome.prefillTokens);
  if (outcome.code == base::ResultCode::kRateLimited)
    impl_->quotaRefusals.Add({{"priority", priorityLabel(outcome.tenantPriority)}}).Increment();
  if (!outcome.quarantinedPart.empty()) impl_->countPartRefusal(outcome.quarantinedPart);
  labels.emplace("code", base::describe(outcome.code).name);
  impl_->requests.Add(labels).Increment();
}

void RelayMetrics::Impl::countPartRefusal(const std::string& part) {
  constexpr std::size_t kMaximumLabels = 64;
  if (labelledParts.size() < kMaximumLabels) labelledParts.insert(part);
  partRefusals.Add({{"part", labelledParts.contains(part) ? part : "other"}}).Increment();
}

void RelayMetrics::Impl::countRetries(const request::RelayOutcome& outcome) {
  for (std::size_t index = 0; index < outcome.retries.size(); ++index) {
    const auto count = outcome.retries.at(index);
    if (count == 0) continue;
    const std::string cause{request::toString(static_cast<request::RetryCause>(index))};
    retries.Add({{"cause", cause}, {"service", outcome.service}}).Increment(count);
  }
}

void RelayMetrics::onEvent(base::Event event) {
  impl_->events.Add({{"event", std::string{base::describe(event).name}}}).Increment();
}

void RelayMetrics::onPause(base::Duration duration) {
  impl_->pauses.Observe(base::toSeconds(duration));
}

void RelayMetrics::onRequestRead(base::Duration delay) {
  impl_->readDelays.Observe(base::toSeconds(delay));
}

void RelayMetrics::Impl::renderQueues(const routing::PlacementCounters& placement) {
  const auto raise = [](prometheus::Counter& counter, double total) {
    counter.Increment(total - counter.Value());
  };
  const auto event = [&](const char* name, std::uint64_t total) {
    raise(queueEvents.Add({{"event", name}}), static_cast<double>(total));
  };
  queueLength.Set(static_cast<double>(placement.queuedHere));
  const auto& home = placement.home;
  event("granted_at_once", home.grantedAtOnce);
  event("granted_later", home.grantedLater);
  event("refused_at_once", home.refusedAtOnce);
  event("refused_later", home.refusedLater);
  event("withdrawn", home.withdrawn);
  event("sent_elsewhere", home.cleared);
  for (std::size_t urgency = 0; urgency < home.waits.size(); ++urgency) {
    const Labels labels{{"urgency", std::to_string(urgency)}};
    const auto& waits = home.waits.at(urgency);
    raise(queueWaits.Add(labels), static_cast<double>(waits.count));
    raise(queueWaitSeconds.Add(labels), base::toSeconds(waits.total));
  }
}

std::string RelayMetrics::render(const Snapshot& snapshot) {
  const auto set = [](prometheus::Gauge& gauge, auto value) {
    gauge.Set(static_cast<double>(value));
  };
  set(impl_->connections, snapshot.callerConnections);
  set(impl_->maximumConnections, snapshot.maximumCallerConnections);
  set(impl_->version, snapshot.configurationVersion);
  set(impl_->knownParts, snapshot.knownParts);
  set(impl_->quarantinedRequests, snapshot.quarantinedRequests);
  set(impl_->quarantinedParts, snapshot.quarantinedParts);
  set(impl_->storeEra, snapshot.storeEra);
  set(impl_->leaseHeld, snapshot.leaseHeld ? 1 : 0);
  set(impl_->members, snapshot.members);
  set(impl_->longestTimerDelay, base::toSeconds(snapshot.longestTimerDelay));
  set(impl_->openRequests, snapshot.openRequests);
  set(impl_->ready, snapshot.ready ? 1 : 0);
  set(impl_->replicas.Add({{"state", "available"}}), snapshot.replicasAvailable);
  set(impl_->replicas.Add({{"state", "draining"}}), snapshot.replicasDraining);
  set(impl_->replicas.Add({{"state", "resting"}}), snapshot.replicasBackingOff);
  set(impl_->replicas.Add({{"state", "limited"}}), snapshot.replicasRateLimited);
  set(impl_->replicas.Add({{"state", "ejected"}}), snapshot.replicasEjected);
  set(impl_->replicas.Add({{"state", "changing"}}), snapshot.replicasChanging);
  const auto raise = [](prometheus::Counter& counter, std::uint64_t total) {
    counter.Increment(static_cast<double>(total) - counter.Value());
  };
  set(impl_->failedLinks, snapshot.failedLinks);
  raise(impl_->connectionsClosed, snapshot.connectionsClosedForRoom);
  for (std::size_t index = 0; index < kMemoryClasses; ++index) {
    const auto name = toString(static_cast<MemoryClass>(index));
    set(impl_->heldBytes.Add({{"class", std::string{name}}}), snapshot.heldBytes.at(index));
  }
  raise(impl_->requestsNotReceived, snapshot.requestsNotReceived);
  const auto& relayed = snapshot.peerRelay;
  raise(impl_->peerRequests.Add({{"outcome", "answered"}}), relayed.answered);
  raise(impl_->peerRequests.Add({{"outcome", "refused"}}), relayed.refused);
  raise(impl_->peerRequests.Add({{"outcome", "unreachable"}}), relayed.unreachable);
  raise(impl_->peerRequests.Add({{"outcome", "lost"}}), relayed.lost);
  raise(impl_->peerRequests.Add({{"outcome", "cancelled"}}), relayed.cancelled);
  const auto& placement = snapshot.placement;
  raise(impl_->placementQueries.Add({{"outcome", "asked"}}), placement.queries);
  raise(impl_->placementQueries.Add({{"outcome", "granted"}}), placement.granted);
  raise(impl_->placementQueries.Add({{"outcome", "declined"}}), placement.declined);
  raise(impl_->placementQueries.Add({{"outcome", "timeout"}}), placement.timeouts);
  raise(impl_->placementQueries.Add({{"outcome", "queued"}}), placement.queued);
  raise(impl_->placementQueries.Add({{"outcome", "refused"}}), placement.refused);
  raise(impl_->placementQueries.Add({{"outcome", "promise_missed"}}), placement.queueUpdatesMissed);
  raise(impl_->placementQueries.Add({{"outcome", "rate_limited"}}), placement.home.rateLimited);
  impl_->renderQueues(placement);
  const auto& quotas = snapshot.quotas;
  raise(impl_->quotaMessages.Add({{"kind", "question"}}), quotas.leaseRequests);
  raise(impl_->quotaMessages.Add({{"kind", "answer"}}), quotas.replies);
  raise(impl_->quotaMessages.Add({{"kind", "correction"}}), quotas.corrections);
  raise(impl_->quotaMessages.Add({{"kind", "silent_home"}}), quotas.unresponsiveHomes);
  raise(impl_->quotaMessages.Add({{"kind", "own_share"}}), quotas.localGrants);
  for (std::size_t number = 1; number < kChannelArraySize; ++number) {
    const auto& traffic = snapshot.traffic.at(number);
    const std::string channel{channelName(static_cast<base::Channel>(number))};
    raise(impl_->peerBytes.Add({{"channel", channel}, {"zone", "own"}}), traffic.bytesInZone);
    raise(impl_->peerBytes.Add({{"channel", channel}, {"zone", "other"}}),
          traffic.bytesToOtherZones);
  }
  impl_->age.Set(snapshot.configurationAge ? base::toSeconds(*snapshot.configurationAge) : -1);
  impl_->resident.Set(residentBytes());
  impl_->processor.Increment(processorSeconds() - impl_->processor.Value());
  return impl_->families.render();
}

}  // namespace covewing::live
