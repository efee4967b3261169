/// \file
/// The planned stop of a relaying node. From the signal on, new requests are taken for a short
/// time, until callers have noticed that the node is not ready; what is open goes on. Shortly
/// before the end of the grace period every request that is still open gets a response. The process
/// ends as soon as all responses are delivered, at the latest at the end of the grace period.
#pragma once

#include <functional>
#include <optional>

#include "base/event_log.h"
#include "base/time.h"
#include "live/http_server.h"
#include "live/peer_relay.h"
#include "request/relay_service.h"

namespace covewing::live {

/// All must outlive the stop and be used on its thread.
struct PlannedStopEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::EventLog& log;
  request::RelayService& service;
  PeerRelay& peerRelay;
  HttpServer& callerServer;
  HttpServer& relayServer;
};

class PlannedStop {
 public:
  /// `grace` is the time from the signal until the platform ends the process.
  PlannedStop(base::Duration grace, PlannedStopEnvironment environment)
      : grace_(grace), environment_(environment) {}

  /// Begins the stop. `ended` is called once, when the process may end.
  void begin(std::function<void()> ended);
  bool begun() const { return begun_; }

 private:
  /// When the process ends at the latest.
  base::TimePoint endsAt() const;
  base::TimePoint lastResponsesAt() const;
  /// Number of requests that have no whole response yet, or of connections on which one is still to
  /// be delivered, whichever is larger.
  std::size_t openWork() const;
  /// As `openWork`, without the responses that the operating system delivers behind the end of the
  /// process.
  std::size_t cutWork() const;
  /// Number of requests that have no whole response yet.
  std::size_t openRequests() const;
  void step();
  /// Sends callers that may have noticed the stop to other nodes.
  void turnCallersAway();
  /// Ends all open requests with a response. It is written before the next step, also if this node
  /// stood still until after the end of the grace period.
  void giveLastResponses();
  void endProcess();

  base::Duration grace_;
  PlannedStopEnvironment environment_;
  bool begun_ = false;
  base::TimePoint begunAt_{};
  bool lastResponsesGiven_ = false;
  /// When this node stopped accepting connections; empty before that.
  std::optional<base::TimePoint> closingSince_;
  std::function<void()> ended_;
};

}  // namespace covewing::live
