#include "live/relay_daemon.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <utility>

#include "base/random.h"
#include "config/era_checked_table.h"
#include "config/shared_feed.h"
#include "config/store_eras.h"
#include "live/allocator.h"
#include "live/asio_runtime.h"
#include "live/boot_clock.h"
#include "live/connect_probe.h"
#include "live/connection_room_monitor.h"
#include "live/counting_event_log.h"
#include "live/descriptor_budget.h"
#include "live/handler_failures.h"
#include "live/http_relay_client.h"
#include "live/http_server.h"
#include "live/memory_plan.h"
#include "live/peer_confirmed_probe.h"
#include "live/peer_relay.h"
#include "live/peer_traffic.h"
#include "live/peer_transport.h"
#include "live/planned_stop.h"
#include "live/rate_limited_event_log.h"
#include "live/read_delay_monitor.h"
#include "live/relay_gateway.h"
#include "live/relay_metrics.h"
#include "live/relay_part_options.h"
#include "membership/gossip_membership.h"
#include "node/announcement_time_resolver.h"
#include "node/announcement_time_store.h"
#include "node/cache_store_gossip.h"
#include "node/call_counting_weights_client.h"
#include "node/configuration_gossip.h"
#include "node/node_count.h"
#include "node/pause_detector.h"
#include "node/service_demand.h"
#include "node/software_version_store.h"
#include "node/stream_origin_store.h"
#include "node/wake_gate.h"
#include "node/weights_coordinator.h"
#include "routing/cache_watch.h"
#include "routing/load_exchange.h"

namespace covewing::live {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;
/// Approximate number of nodes that write the announcement time of a version in the last check, if
/// no node has written it: enough that one of them reaches a table service that refuses most nodes.
constexpr std::size_t kFallbackAnnouncementWriters = 8;
/// When a caller may try again whose request could not be received: by then ordinary requests that
/// take memory now have been served.
constexpr base::Duration kUnreadRetryAfter = std::chrono::seconds(1);
/// Free memory is given back when so many bytes less are held than before, and not more often than
/// at this interval.
constexpr std::size_t kFreedStep = 8 * kMegabyte;
constexpr base::Duration kReleaseInterval = std::chrono::milliseconds(500);
/// Interval at which the totals of the traffic to other nodes are logged, a few lines each time.
constexpr base::Duration kTrafficReportInterval = std::chrono::seconds(10);

HttpLimits withConnections(std::size_t connections) {
  HttpLimits limits;
  limits.connections = connections;
  return limits;
}

}  // namespace

struct RelayDaemon::Impl final : request::RelayObserver {
  Impl(boost::asio::io_context& ioContext, RelaySettings nodeSettings, base::EventLog& eventLog,
       const RelayDeployment& relayDeployment)
      : context(ioContext),
        settings(std::move(nodeSettings)),
        limitedLog({}, clock, eventLog),
        log(limitedLog, [this](base::Event event) { metrics.onEvent(event); }),
        deployment(relayDeployment),
        timers(ioContext),
        random(systemSeed()),
        peers(ioContext, log, memory),
        membership(membershipOptions(settings), clock, timers, random, log, peers),
        traffic(membership),
        nodes(membership, clock),
        retryNodes(membership, clock, retryNodeCount()),
        weightsTargets({settings.weightsInForce, settings.weightsInForce * 3 / 20}),
        connectProbe(ioContext, settings.sourceAddress),
        links({}, {clock, timers, random, log, connectProbe, replicas}),
        relayPeers({}, random, membership, membership),
        peerHttp(ioContext, peerLimits(deployment.dialect)),
        confirmedProbe({clock, connectProbe, peerHttp, replicas, relayPeers}),
        crashDetector({}, {clock, timers, log, confirmedProbe}),
        replicaSelector({replicas, holders, weightsTargets, stores, fleetLoad, settings.zone}, {},
                        random),
        partLookup({}, {clock, timers, random, log, peers, membership}),
        streamOrigins(
            {}, {clock, timers, random, log, peers, membership, softwareVersions,
                 [this](const std::string& name, base::Duration age,
                        node::SoftwareVersionStore::Callback found) {
                   softwareVersionStore.findSoleVersion(name, age, std::move(found));
                 },
                 [this](routing::StreamId stream, const routing::StreamOrigin& origin,
                        base::Duration keepFor) { streamOriginStore.add(stream, origin, keepFor); },
                 [this](routing::StreamId stream, node::StreamOriginStore::Callback found) {
                   streamOriginStore.find(stream, std::move(found));
                 }}),
        placement({}, {clock, timers, random, log, peers, membership, replicas, holders}),
        weights(deployment.weights, replicas, placement),
        loadExchange({}, {clock, timers, log, peers, membership, replicas, fleetLoad}),
        storeEras(clock, log),
        ownTable(deployment.table, storeEras),
        configuration(deployment.configurationRows, clock, log, weightsTargets, storeEras),
        replicaList(deployment.replicaRows, clock, log, replicas, holders, crashDetector,
                    softwareVersions, storeEras),
        configurationGossip({membership, storeEras, configuration,
                             [this] { return configurationWatch.serviceTime(); }}),
        feeds(feedOptions(settings),
              {clock, timers, random, log, peers, membership, deployment.feeds, storeEras}),
        configurationWatch({deployment.configurationTable, config::holdFor(settings.revocation)},
                           clock, timers, random, feeds, configuration),
        replicaWatch(replicaWatchOptions(deployment.replicaTable), clock, timers, random, feeds,
                     replicaList),
        demand({clock, configuration, replicas, fleetLoad, requestDurations,
                [this] { return nodes(); }}),
        coordinator(
            coordinatorOptions(settings),
            {clock, timers, random, log, peers, ownTable, weights, membership, membership, replicas,
             holders, weightsTargets,
             [this](const std::string& name) { return demand.replicasForLongRequests(name); },
             [this](const std::string& name) { return demand.replicasInUse(name); },
             [this](const std::string& name) { return demand.isConfigured(name); },
             [this] { return !links.mostFailed(); }}),
        softwareVersionStore({ownTable, clock, timers, membership, softwareVersions,
                              [this] { return configurationWatch.serviceTime(); }}),
        streamOriginStore({}, {ownTable, clock, timers, membership, softwareVersions,
                               [this] { return configurationWatch.serviceTime(); }}),
        announcementTimeStore(
            ownTable, clock, timers, [this] { return configurationWatch.serviceTime(); },
            [this](bool lastCheck) { return writesAnnouncementTimes(lastCheck); }),
        announcementTimeResolver(clock, log, weightsTargets, announcementTimeStore),
        cacheStoreGossip(membership, membership, stores),
        cacheWatch({},
                   {clock, timers, random, log, deployment.cacheFeeds, replicas, stores, membership,
                    holders},
                   [this](const std::string& name) { return demand.eventWatchers(name); }),
        retryWindows({settings.retryWindow, settings.retryRatio, settings.retrySlack}, clock.now(),
                     [this] { return retryNodes(); }),
        quotas(quotaOptions(),
               {clock, timers, random, membership, peers, [this] { return nodes(); }}),
        quarantine({}, {clock, timers, random, log, peers, membership, membership, ownTable,
                        [this] { return configurationWatch.serviceTime(); }}),
        pauseDetector(clock, timers, log, [this](base::Duration pause) { onWake(pause); }),
        wakeGate(clock, timers, log,
                 [this] { return configurationWatch.caughtUp() && replicaWatch.caughtUp(); }),
        replicaHttp(ioContext, replicaLimits(deployment.dialect, settings)),
        relayClient(replicaHttp, peerHttp, deployment.dialect),
        peerRelay({}, {clock, log, deployment.dialect, replicaHttp, connectProbe, replicas, links,
                       configuration}),
        service(serviceOptions(), dependencies(), configuration, [this] { return nodes(); }),
        gateway(service, deployment.dialect, log),
        callerServer(ioContext, withConnections(descriptors.callerConnections),
                     [this](const HttpExchangePtr& exchange) { onCallerRequest(exchange); },
                     {memory}),
        relayServer(
            ioContext, withConnections(descriptors.peerRelayConnections),
            [this](const HttpExchangePtr& exchange) {
              pauseDetector.check();
              peerRelay.handle(exchange);
            },
            peerMemory()),
        readinessServer(
            ioContext, monitoringLimits(),
            [this](const HttpExchangePtr& exchange) {
              exchange->respond({ready() ? kOk : kServiceUnavailable, {}, {}});
            },
            peerMemory()),
        metricsServer(
            ioContext, monitoringLimits(),
            [this](const HttpExchangePtr& exchange) {
              exchange->respond({kOk, {{"Content-Type", "text/plain; version=0.0.4"}}, render()});
            },
            peerMemory()) {
    cacheWatch.onChange([this](const routing::CacheChange& change) { onCacheChange(change); });
    weightsTargets.onChange([this] { service.onWeightsChanged(); });
    configuration.setWatch(configurationWatch);
    storeEras.onReturn([this](const config::StoreReturn&) { onStoreReturned(); });
    deployment.feeds.onEra(
        [this](base::StoreEra era, std::string_view source) { storeEras.note(era, source); });
    deployment.weights.onNotices(
        [this](const std::string& instance, const clients::WeightsCallNotices& notices) {
          if (const auto replica = replicas.find(instance)) recordNotices(*replica, notices);
        });
    replicas.setRemovalListener([this](const std::string&) { cacheWatch.endUnlisted(); });
    cacheWatch.onRateLimitedPoll(
        [this](const routing::ReplicaRecord& replica) { placement.countControlCall(replica); });
    cacheWatch.onUnanswered([this](const routing::ReplicaRecordPtr& replica) {
      links.verify(*replica, [](bool /*works*/) {});
      crashDetector.onCallFailed(replica);
    });
    links.onRestored([this](const std::string& instance) {
      if (const auto replica = replicas.find(instance)) replica->onReachable(clock.now());
    });
    for (HttpServer* server : {&callerServer, &relayServer})
      server->onEarlyClose([this](const EarlyClose& early) { logEarlyClose(early); });
    callerServer.setRefusalFormatter(
        [this](const HttpRefusal& refusal) { return formatRefusal(refusal); });
    relayServer.setRefusalFormatter(
        [this](const HttpRefusal& refusal) { return peerRelay.formatRefusal(refusal); });
    memory->onFreed(kFreedStep, [this] { releaseMemorySoon(); });
    watchConnectionRoom();
    crashDetector.setListener([this](const routing::LostRequests& ended) {
      quarantine.onReplicaCrash(base::engineIdOf(ended.instance), ended.requests);
    });
    configuration.setTableListener([this](const config::RouteTable& table) {
      applyLimits(table.limits());
      stores.update(table);
      cacheWatch.endUnlisted();
      configurationGossip.publishTableVersion(table.version());
    });
    configuration.setFeedCurrentListener([this] { onConfigurationCurrent(); });
    configuration.setWeightsListener([this](const node::AnnouncedWeights& announced,
                                            const node::AnnouncementTime& announcementTime) {
      announcementTimeResolver.onVersionAnnounced(announced, announcementTime);
      configurationGossip.publishWeightsVersion(announced);
    });
  }

  // What connections hold may be let go later, when their last handlers are discarded.
  ~Impl() override { memory->onFreed(0, nullptr); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void watchConnectionRoom() {
    onAcceptDelay(callerServer, "callers");
    onAcceptDelay(relayServer, "relay");
    onAcceptDelay(readinessServer, "readiness");
    onAcceptDelay(metricsServer, "metrics");
    callerServer.onClosedForRoom(
        [this] { connectionRoom.onClosedForRoom(callerServer.openConnections()); });
  }

  /// Logs why connections to a server wait. Idle connections of callers make room for those to all
  /// servers where no descriptor is free.
  void onAcceptDelay(HttpServer& server, std::string_view name) {
    server.onAcceptDelay([this, &server, name](const AcceptDelay& delay) {
      connectionRoom.onAcceptDelay(name, delay);
      if (delay.outOfDescriptors && &server != &callerServer) callerServer.makeRoom();
    });
  }

  ServerMemory peerMemory() const { return {memory, MemoryClass::kPeers, MemoryClass::kPeers}; }

  /// Gives free memory back, at intervals while much is held and let go.
  void releaseMemorySoon() {
    if (std::exchange(releaseScheduled, true)) return;
    timers.schedule(kReleaseInterval, [this] {
      releaseScheduled = false;
      releaseFreeMemory();
    });
  }

  /// The response to a caller's request that the listener itself refuses.
  HttpResponse formatRefusal(const HttpRefusal& refused) {
    const auto id = refused.head.header(deployment.dialect.requestIdHeader());
    request::RelayRefusal refusal;
    refusal.reason = refused.reason;
    refusal.status = base::describe(refused.reason.code).httpStatus;
    refusal.closeConnection = true;
    if (refusal.status == kServiceUnavailable) refusal.retryAfter = kUnreadRetryAfter;
    log.write(base::Event::kRequestRefused,
              {{"request", std::string{id}},
               {"code", std::to_string(static_cast<unsigned>(refusal.reason.code))},
               {"status", std::to_string(refusal.status)},
               {"why", refusal.reason.detail}});
    return deployment.dialect.refusal(refusal, id);
  }

  void logEarlyClose(const EarlyClose& early) {
    log.write(base::Event::kConnectionClosedEarly,
              {{"peer", base::toString(early.peer)},
               {"why", std::string{early.why}},
               {"unfinished", std::string{toString(early.unfinished)}},
               {"unread", std::to_string(early.unreadBytes)},
               {"read", std::to_string(early.requestBytes)},
               {"unsent", std::to_string(early.unsentBytes)},
               {"late_ms", base::millisecondsText(early.late)}});
  }

  /// Records notices that a replica included in its reply to an order or a request for a report.
  void recordNotices(routing::ReplicaRecord& replica, const clients::WeightsCallNotices& notices) {
    if (notices.responder.otherInstance)
      routing::recordOtherInstance(replica, log, clock.now(), notices.call, notices.responder);
    const routing::NoticeSource source{notices.call, notices.responder.status, {}};
    if (notices.leaving) routing::recordLeaving(replica, log, source);
    const auto now = clock.now();
    routing::recordRateLimit(replica, log,
                             {notices.rateLimit, now - clients::kWeightsCallTimeout, now}, source);
  }

  request::RelayServiceOptions serviceOptions() const {
    request::RelayServiceOptions options;
    options.confirmationBound = config::trustedAge(settings.revocation);
    options.quotaWindow.span = settings.quotaWindow;
    options.quotaWindow.overshoot = settings.quotaOvershoot;
    options.quotaWindow.slack = settings.quotaSlack;
    return options;
  }

  request::RelayDependencies dependencies() {
    return {clock,           timers,        log,        relayClient,      replicas,      holders,
            replicaSelector, crashDetector, links,      relayPeers,       partLookup,    placement,
            retryWindows,    quotas,        quarantine, requestDurations, streamOrigins, *this};
  }

  void applyLimits(const config::TrafficLimits& limits) {
    HttpLimits http;
    http.headerBytes = limits.headerBytes;
    http.bodyBytes = limits.bodyBytes;
    http.headerTimeout = limits.headerTimeout;
    http.idleTimeout = limits.idleTimeout;
    http.connections = descriptors.callerConnections;
    callerServer.setLimits(http);
    // Requests of other nodes have some headers more than their callers sent.
    constexpr std::size_t kAddedHeaderBytes = 4096;
    http.headerBytes += kAddedHeaderBytes;
    http.connections = descriptors.peerRelayConnections;
    relayServer.setLimits(http);
  }

  /// Notifies the home node of a long prompt part when a holder gains or loses it.
  void onCacheChange(const routing::CacheChange& change) {
    const auto minimumTokens = request::RelayOptions{}.minimumLookupTokens;
    const bool before = change.previousTokens >= minimumTokens;
    const bool now = change.currentTokens >= minimumTokens;
    if (before != now) partLookup.announce(change.part, {change.holder, change.scope}, now);
  }

  bool writesAnnouncementTimes(bool lastCheck) {
    if (coordinator.isLeaseCandidate()) return true;
    return lastCheck &&
           random.below(std::max<std::size_t>(nodes(), 1)) < kFallbackAnnouncementWriters;
  }

  bool ready() const {
    return !plannedStop.begun() && configuration.table() != nullptr && replicaList.loaded() &&
           service.confirmed();
  }

  bool listen(HttpServer& server, const base::Endpoint& endpoint, base::Reason& reason) {
    if (!server.listen(endpoint, reason)) return false;
    log.write(base::Event::kListenerOpened, {{"address", base::toString(endpoint)}});
    return true;
  }

  bool start(base::Reason& reason) {
    log.write(base::Event::kNodeStarting,
              {{"node", settings.name},
               {"zone", settings.zone},
               {"descriptors", std::to_string(descriptors.limit)},
               {"caller_connections", std::to_string(descriptors.callerConnections)},
               {"memory_mb", std::to_string(memoryPlan.machine / kMegabyte)},
               {"held_mb", std::to_string(memoryPlan.bounds.total / kMegabyte)}});
    if (!listen(callerServer, settings.callerEndpoint, reason)) return false;
    if (!listen(readinessServer, settings.readinessEndpoint, reason)) return false;
    if (settings.relayEndpoint && !listen(relayServer, *settings.relayEndpoint, reason))
      return false;
    const bool withMetrics = settings.metricsEndpoint.port != 0;
    if (withMetrics && !listen(metricsServer, settings.metricsEndpoint, reason)) return false;
    if (!peers.bind(settings.peerEndpoint, reason)) return false;
    peers.start({membership.self().id, membership.self().incarnation, settings.peerEndpoint},
                [this](const base::PeerIdentity& sender, base::Channel channel,
                       std::string_view payload) { onPeerMessage(sender, channel, payload); });
    peers.setSentObserver(
        [this](const base::Endpoint& destination, base::Channel channel, std::size_t bytes) {
          traffic.recordSent(destination, channel, bytes);
        });
    reportTraffic();
    membership.start();
    relayPeers.start(settings.relayEndpoint);
    configurationGossip.start();
    coordinator.start();
    cacheStoreGossip.start();
    cacheWatch.start();
    loadExchange.start();
    quarantine.start();
    configurationWatch.start();
    replicaWatch.start();
    softwareVersionStore.start();
    streamOriginStore.start();
    pauseDetector.start();
    return true;
  }

  /// Checks for a pause of the process first: decisions must not be based on state from before a
  /// pause.
  void onCallerRequest(const HttpExchangePtr& exchange) {
    pauseDetector.check();
    metrics.onRequestRead(exchange->readDelay());
    readDelays.record(exchange->readDelay());
    if (!wakeGate.closed()) return gateway.handle(exchange);
    const auto disconnected = std::make_shared<bool>(false);
    exchange->onDisconnect([disconnected] { *disconnected = true; });
    wakeGate.runWhenOpen([this, exchange, disconnected] {
      if (!*disconnected) gateway.handle(exchange);
    });
  }

  /// Called after a pause of the process. Leases and deadlines that passed during it have expired
  /// by the clock; changes made by others are fetched.
  void onWake(base::Duration pause) {
    const auto suspendedNow = suspendedTime();
    const auto suspended = suspendedNow - std::exchange(suspendedBefore, suspendedNow);
    metrics.onPause(pause);
    // First, before any decision: requests whose latest start passed during the pause are
    // withdrawn.
    service.onWeightsChanged();
    // Replicas may have closed these connections while this machine was suspended.
    if (suspended > node::PauseDetector::kPauseThreshold) replicaHttp.closeIdle();
    membership.onWake();
    configurationWatch.onWake();
    replicaWatch.onWake();
    wakeGate.onWake(pause, suspended);
  }

  /// Called when the table service was restored from an older backup: state read from or written to
  /// it in its former era is read, confirmed and written again.
  void onStoreReturned() {
    configurationWatch.onStoreReturned();
    replicaWatch.onStoreReturned();
    configurationGossip.onStoreReturned();
    configuration.onStoreReturned();
    coordinator.onStoreReturned();
    softwareVersionStore.onStoreReturned();
    streamOriginStore.onStoreReturned();
  }

  /// Called when the configuration has been read or confirmed as current.
  void onConfigurationCurrent() {
    configurationGossip.onFeedCurrent();
    const auto era = storeEras.current();
    // These parts need the table service's clock, which for a new era is known only from now on.
    if (std::exchange(rowsWrittenEra, era) == era) return;
    announcementTimeResolver.onStoreReturned();
    quarantine.onStoreReturned();
  }

  void reportTraffic() {
    trafficTimer = timers.schedule(kTrafficReportInterval, [this] {
      traffic.logTotals(log);
      reportTraffic();
    });
  }

  void onPeerMessage(const base::PeerIdentity& sender, base::Channel channel,
                     std::string_view payload) {
    pauseDetector.check();
    if (channel == base::Channel::kMembership) membership.onPeerMessage(sender, payload);
    if (channel == base::Channel::kTableFeed) feeds.onPeerMessage(sender, payload);
    if (channel == base::Channel::kStreamOrigin) streamOrigins.onPeerMessage(sender, payload);
    if (channel == base::Channel::kPartIndex) partLookup.onPeerMessage(sender, payload);
    if (channel == base::Channel::kPlacement) placement.onPeerMessage(sender, payload);
    if (channel == base::Channel::kReplicaLoad) loadExchange.onPeerMessage(sender, payload);
    if (channel == base::Channel::kAdmission) quotas.onPeerMessage(sender, payload);
    if (channel == base::Channel::kQuarantine) quarantine.onPeerMessage(sender, payload);
    if (channel == base::Channel::kCoordination) coordinator.onPeerMessage(sender, payload);
  }

  void drain(std::function<void()> done) {
    plannedStop.begin([this, done = std::move(done)] {
      membership.leave();
      done();
    });
    coordinator.drain([] {});
    membership.setDraining(true);
  }

  void onRelayFinished(const config::Route& route, const request::RelayOutcome& outcome) override {
    metrics.onRelayFinished(route, outcome);
  }

  std::string render() {
    const auto now = clock.now();
    RelayMetrics::Snapshot snapshot;
    snapshot.ready = ready();
    snapshot.leaseHeld = coordinator.holdsLease();
    if (const auto table = configuration.table()) snapshot.configurationVersion = table->version();
    if (const auto confirmed = configuration.confirmedAt())
      snapshot.configurationAge = now - *confirmed;
    snapshot.members = membership.liveMembers().size();
    snapshot.longestTimerDelay = timers.takeLongestDelay();
    snapshot.openRequests = service.openRequests();
    snapshot.callerConnections = callerServer.openConnections();
    snapshot.maximumCallerConnections = descriptors.callerConnections;
    snapshot.connectionsClosedForRoom = connectionRoom.closedForRoom();
    snapshot.heldBytes = memory->heldByClass();
    snapshot.requestsNotReceived = memory->refused();
    snapshot.knownParts = holders.size();
    snapshot.failedLinks = links.failed();
    snapshot.peerRelay = peerRelay.counters();
    snapshot.placement = placement.counters();
    snapshot.quotas = quotas.counts();
    snapshot.quarantinedParts = quarantine.size(base::FeatureKind::kPromptPart);
    snapshot.quarantinedRequests = quarantine.size(base::FeatureKind::kRequest);
    snapshot.storeEra = storeEras.current();
    snapshot.traffic = traffic.channels();
    for (const auto& [instance, record] : replicas.all()) countReplica(*record, now, snapshot);
    return metrics.render(snapshot);
  }

  static void countReplica(const routing::ReplicaRecord& record, base::TimePoint now,
                           RelayMetrics::Snapshot& snapshot) {
    if (!record.inService()) {
      ++snapshot.replicasDraining;
    } else if (record.notices().backingOff(now)) {
      ++snapshot.replicasBackingOff;
    } else if (!record.health().available(now)) {
      ++snapshot.replicasEjected;
    } else if (record.loadingWeights(now)) {
      ++snapshot.replicasChanging;
    } else {
      ++snapshot.replicasAvailable;
    }
    if (record.notices().rateLimit().perSecond()) ++snapshot.replicasRateLimited;
  }

  boost::asio::io_context& context;
  RelaySettings settings;
  RelayMetrics metrics;
  AsioClock clock;
  RateLimitedEventLog limitedLog;
  CountingEventLog log;
  HandlerFailureLog handlerFailures{context, log};
  RelayDeployment deployment;
  MemoryPlan memoryPlan =
      planMemory(static_cast<std::size_t>(settings.machineMemoryMegabytes * kMegabyte));
  MemoryAccountPtr memory = std::make_shared<MemoryAccount>(memoryPlan.bounds);
  AsioTimerService timers;
  base::SeededRandom random;
  AsioPeerTransport peers;
  membership::GossipMembership membership;
  PeerTraffic traffic;
  node::NodeCount nodes;
  /// Counts nodes for the shares of the retry slack, which must not grow while nodes are
  /// partitioned from each other.
  node::NodeCount retryNodes;
  routing::WeightsTargets weightsTargets;
  routing::ReplicaDirectory replicas;
  routing::PrefixHolders holders;
  routing::CacheStores stores;
  routing::FleetLoad fleetLoad;
  ConnectProbe connectProbe;
  routing::ReplicaLinks links;
  routing::RelayPeers relayPeers;
  HttpClient peerHttp;
  PeerConfirmedProbe confirmedProbe;
  routing::ReplicaCrashDetector crashDetector;
  routing::ReplicaSelector replicaSelector;
  routing::PartLookup partLookup;
  routing::SoftwareVersions softwareVersions{replicas};
  routing::StreamOrigins streamOrigins;
  routing::Placement placement;
  node::CallCountingWeightsClient weights;
  routing::LoadExchange loadExchange;
  config::StoreEras storeEras;
  config::EraCheckedTable ownTable;
  node::RouteConfiguration configuration;
  node::ReplicaList replicaList;
  node::ConfigurationGossip configurationGossip;
  config::SharedFeed feeds;
  config::TableWatch configurationWatch;
  config::TableWatch replicaWatch;
  routing::RequestDurations requestDurations;
  node::ServiceDemand demand;
  node::WeightsCoordinator coordinator;
  node::SoftwareVersionStore softwareVersionStore;
  node::StreamOriginStore streamOriginStore;
  node::AnnouncementTimeStore announcementTimeStore;
  node::AnnouncementTimeResolver announcementTimeResolver;
  node::CacheStoreGossip cacheStoreGossip;
  routing::CacheWatch cacheWatch;
  admission::RetryWindows retryWindows;
  admission::TenantQuotas quotas;
  quarantine::RequestQuarantine quarantine;
  base::Duration suspendedBefore = suspendedTime();
  node::PauseDetector pauseDetector;
  node::WakeGate wakeGate;
  HttpClient replicaHttp;
  HttpRelayClient relayClient;
  PeerRelay peerRelay;
  request::RelayService service;
  RelayGateway gateway;
  ReadDelayMonitor readDelays{clock, log};
  DescriptorBudget descriptors = divideDescriptors(descriptorLimit(), memoryPlan.callerConnections);
  ConnectionRoomMonitor connectionRoom{clock, log};
  HttpServer callerServer;
  HttpServer relayServer;
  HttpServer readinessServer;
  HttpServer metricsServer;
  PlannedStop plannedStop{settings.grace,
                          {clock, timers, log, service, peerRelay, callerServer, relayServer}};
  /// Era of the table service for which this node has last ensured that its own rows exist.
  base::StoreEra rowsWrittenEra = 0;
  base::TimerId trafficTimer = 0;
  bool releaseScheduled = false;
};

RelayDaemon::RelayDaemon(boost::asio::io_context& context, RelaySettings settings,
                         base::EventLog& log, const RelayDeployment& deployment)
    : impl_(std::make_unique<Impl>(context, std::move(settings), log, deployment)) {}
RelayDaemon::~RelayDaemon() = default;
bool RelayDaemon::start(base::Reason& reason) { return impl_->start(reason); }
void RelayDaemon::drain(std::function<void()> done) { impl_->drain(std::move(done)); }

}  // namespace covewing::live
