/// \file
/// Nodes that place requests at replicas, each being the home of some of them, connected by a
/// simulated network.
#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/random.h"
#include "routing/delayed_network.h"
#include "routing/fakes.h"
#include "routing/placement.h"
#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::routing::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::size_t kNodes = 6;
inline constexpr std::size_t kReplicas = 8;
inline constexpr std::uint32_t kSlots = 4;

struct PlacementNode {
  PlacementNode(test_support::VirtualTime& time, test_support::RecordingLog& log,
                DelayedNetwork& network, const std::vector<membership::Member>& ownFirst)
      : members(ownFirst),
        random(ownFirst.front().id.value),
        link(network, {members.self().id, 1, members.self().endpoint}),
        placement({}, {time, time, random, log, link, members, replicas, holders}) {
    network.attach(members.self().endpoint.address,
                   [this](const base::PeerIdentity& sender, std::string_view payload) {
                     placement.onPeerMessage(sender, payload);
                   });
  }

  FakeMembers members;
  base::SeededRandom random;
  DelayedLink link;
  ReplicaDirectory replicas;
  PrefixHolders holders;
  Placement placement;
};

struct PlacementFixture {
  PlacementFixture() {
    time.advance(seconds(100));
    for (std::size_t number = 0; number < kNodes; ++number)
      all.push_back(makeMember("node-" + std::to_string(number), number % 2 == 0 ? "z0" : "z1"));
    for (std::size_t number = 0; number < kNodes; ++number) start(number);
  }

  /// Starts the node, or restarts it with empty state.
  void start(std::size_t number) {
    auto ownFirst = all;
    std::swap(ownFirst.front(), ownFirst[number]);
    nodes[number] = std::make_unique<PlacementNode>(time, log, network, ownFirst);
    for (std::size_t replica = 0; replica < kReplicas; ++replica) {
      Replica facts;
      facts.instance = "r" + std::to_string(replica);
      facts.service = "llm";
      facts.zone = replica % 2 == 0 ? "z0" : "z1";
      facts.slots = kSlots;
      nodes[number]->replicas.onListed(facts);
    }
  }
  void stop(std::size_t number) { network.detach(all[number].endpoint.address); }

  ReplicaRecordPtr record(std::size_t node, std::size_t replica) {
    return nodes.at(node)->replicas.find("r" + std::to_string(replica));
  }
  std::size_t homeOf(std::size_t replica) {
    const auto facts = record(0, replica)->facts();
    const auto& home =
        ReplicaHomes(nodes.at(0)->members).homeOf(base::engineIdOf(facts.instance), facts.zone);
    const auto found = std::ranges::find(all, home.id, &membership::Member::id);
    return static_cast<std::size_t>(found - all.begin());
  }

  PlacementRequest requestOf(std::size_t node, const std::vector<std::size_t>& candidates) {
    PlacementRequest request;
    request.promptTokens = 1000;
    request.acceptableWait = milliseconds(40);
    request.constraints.urgency = 1;
    request.constraints.arrivedAt = time.now();
    request.constraints.softStartDeadline = time.now() + milliseconds(400);
    request.constraints.hardStartDeadline = time.now() + seconds(2);
    for (const auto number : candidates)
      request.candidates.push_back({record(node, number), 5, {1100, 1000, kSlots, 90'000}, {}});
    return request;
  }
  PlacementResult place(std::size_t node, const std::vector<std::size_t>& candidates) {
    return placeRequest(node, requestOf(node, candidates));
  }
  PlacementResult placeRequest(std::size_t node, PlacementRequest request) {
    const auto placed = startPlacing(node, std::move(request));
    time.advance(milliseconds(120));
    BOOST_REQUIRE(placed->result.has_value());
    elapsed = placed->elapsed;
    return *placed->result;
  }
  /// A request that is being placed.
  struct Placing {
    Placement::Ticket ticket = 0;
    std::optional<PlacementResult> result;
    base::Duration elapsed{};

    bool granted() const { return result && result->grant.has_value(); }
    bool refused() const { return result && result->retryAfter.has_value(); }
  };
  std::shared_ptr<Placing> startPlacing(std::size_t node, PlacementRequest request) {
    auto placed = std::make_shared<Placing>();
    auto& placement = nodes.at(node)->placement;
    placed->ticket = placement.newTicket();
    placement.place(placed->ticket, std::move(request),
                    [this, placed, startedAt = time.now()](const PlacementResult& placementResult) {
                      BOOST_TEST(!placed->result.has_value());
                      placed->result = placementResult;
                      placed->elapsed = time.now() - startedAt;
                    });
    return placed;
  }

  /// Fills the replica with as many requests as it accepts, all from node 0; `responsesStarted`
  /// states whether their responses have started.
  std::vector<PlacementGrant> fill(std::size_t replica, bool responsesStarted = true) {
    std::vector<PlacementGrant> grants;
    for (std::size_t count = 0; count < kSlots + 1; ++count) {
      const PlacementCandidate candidate{record(0, replica), 5, {1100, 1000, kSlots, 90'000}, {}};
      grants.push_back(nodes.at(0)->placement.dispatchUngranted(candidate));
      if (responsesStarted) nodes.at(0)->placement.reportStarted(grants.back());
      time.advance(milliseconds(2));
    }
    return grants;
  }

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  DelayedNetwork network{time, 3};
  std::vector<membership::Member> all;
  std::map<std::size_t, std::unique_ptr<PlacementNode>> nodes;
  base::Duration elapsed{};
};

}  // namespace covewing::routing::testing
