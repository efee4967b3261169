/// \file
/// The simulated network between all processes of a run: latency by distance, loss, duplication,
/// reordering, partitions of zones and regions, and bytes counted with their headers.
///
/// Datagrams may be lost, repeated or reordered. Connections are in order and lossless (a loss
/// costs a retransmission's delay) until the path is cut or an end dies; then they break, and what
/// was on its way towards the break may or may not have arrived.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "base/random.h"
#include "base/time.h"
#include "sim/process.h"
#include "sim/scheduler.h"

namespace covewing::sim {

/// Behaviour of the path between two hosts, by their distance.
struct PathOptions {
  base::Duration oneWay{};
  /// Added to the latency, uniformly distributed from zero to this.
  base::Duration jitter{};
  /// Probability that a datagram is lost, from 0 to 1.
  double loss = 0;
  /// Probability that a datagram arrives twice.
  double duplicate = 0;
  /// Probability that a datagram is held up by `reorderDelay`, so that later ones overtake it.
  double reorder = 0;
  base::Duration reorderDelay = std::chrono::milliseconds(5);
};

struct NetworkOptions {
  PathOptions sameZone{std::chrono::microseconds(100), std::chrono::microseconds(20)};
  PathOptions sameRegion{std::chrono::microseconds(1000), std::chrono::microseconds(100)};
  PathOptions acrossRegions{std::chrono::milliseconds(30), std::chrono::milliseconds(2)};
  /// How long an end waits for a path that does not answer before it gives the connection up.
  base::Duration connectionTimeout = std::chrono::seconds(2);
  /// Time from a node's decision to send an order until the first byte leaves: a process that is
  /// slow, or paused, between the two.
  base::Duration orderDelay{};
};

/// What bytes were sent for. All but kData count as control.
enum class TrafficClass : std::uint8_t {
  kPeerDatagram,
  kPeerStream,
  kEngineReports,
  kOrders,
  kTable,
  kObjectStore,
  kMachineList,
  kData,
};
inline constexpr std::size_t kTrafficClassCount = 8;

/// Bytes of one host by class, IP and UDP or TCP headers included.
struct TrafficCount {
  std::array<std::uint64_t, kTrafficClassCount> sent{};
  std::array<std::uint64_t, kTrafficClassCount> received{};

  std::uint64_t controlSent() const;
  std::uint64_t controlReceived() const;
};

/// What the network did to datagrams and connections, for the count of faults.
struct NetworkCount {
  std::uint64_t datagrams = 0;
  std::uint64_t lost = 0;
  std::uint64_t duplicated = 0;
  std::uint64_t reordered = 0;
  /// Datagrams and connection attempts that met a cut.
  std::uint64_t cut = 0;
  std::uint64_t brokenConnections = 0;
};

using HostId = std::uint32_t;

class Network;

/// One connection between two hosts. Either end's callbacks run on that end's process.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  enum class Side : std::uint8_t { kClient, kServer };

  Connection(Network& network, std::uint64_t id, HostId client, HostId server,
             TrafficClass traffic);

  std::uint64_t id() const { return id_; }
  bool open() const { return open_; }
  HostId host(Side side) const { return hosts_[index(side)]; }

  /// Called once on that side's process when the other end closed or the connection broke.
  void onClosed(Side side, std::function<void()> callback);
  /// Sends `bytes` of payload; `deliver` runs on the other side's process. Dropped when the
  /// connection is no longer open.
  void send(Side from, std::size_t bytes, std::function<void()> deliver);
  /// Closes in order: the other side receives what was sent before, then is told.
  void close(Side by);

 private:
  friend class Network;

  static std::size_t index(Side side) { return static_cast<std::size_t>(side); }
  static Side other(Side side) { return side == Side::kClient ? Side::kServer : Side::kClient; }
  /// Ends the connection; each side that is to be told is told at its time.
  void fail(base::Duration tellClient, base::Duration tellServer);
  void tell(Side side, base::TimePoint time);

  Network& network_;
  std::uint64_t id_;
  std::array<HostId, 2> hosts_;
  TrafficClass traffic_;
  bool open_ = true;
  std::array<std::function<void()>, 2> closed_;
  /// Arrival time of the last message towards each side; later ones are not delivered before it.
  std::array<base::TimePoint, 2> lastArrival_{};
};
using ConnectionPtr = std::shared_ptr<Connection>;

/// How an attempt to connect ended.
enum class ConnectResult : std::uint8_t {
  kConnected,
  /// The host answered that nobody listens.
  kRefused,
  /// No answer within the time-out.
  kTimedOut,
};

class Network {
 public:
  Network(Scheduler& scheduler, NetworkOptions options, std::uint64_t seed);
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  /// Adds a host for `process`, which must outlive the network's use of it.
  HostId addHost(Process& process, const base::Endpoint& endpoint, std::string_view zone,
                 std::string_view region);
  /// The host at `endpoint`; null when there is none.
  const HostId* findHost(const base::Endpoint& endpoint) const;
  Process& process(HostId host) { return *hosts_[host].process; }
  const TrafficCount& traffic(HostId host) const { return hosts_[host].traffic; }
  const NetworkCount& count() const { return count_; }
  NetworkOptions& options() { return options_; }
  Scheduler& scheduler() { return scheduler_; }

  /// Cuts a zone off from everything outside it, or heals it.
  void cutZone(std::string_view zone, bool cut);
  /// Cuts two regions off from each other, or heals them.
  void cutRegions(std::string_view left, std::string_view right, bool cut);
  /// Whether a path exists now.
  bool reachable(HostId from, HostId to) const;
  /// A latency drawn for one message.
  base::Duration latency(HostId from, HostId to);

  /// Sends one datagram of `bytes` payload; `deliver` runs on the receiver's process.
  void sendDatagram(HostId from, HostId to, std::size_t bytes, TrafficClass traffic,
                    const std::function<void()>& deliver);
  /// Opens a connection; `callback` runs on the client's process, with null unless connected.
  void connect(HostId from, HostId to, TrafficClass traffic,
               std::function<void(ConnectResult, ConnectionPtr)> callback);
  /// Breaks all connections of a host whose process ended; the other ends are told.
  void breakConnections(HostId host);

 private:
  friend class Connection;

  struct Host {
    Process* process = nullptr;
    std::uint32_t zone = 0;
    std::uint32_t region = 0;
    TrafficCount traffic;
    std::map<std::uint64_t, std::weak_ptr<Connection>> connections;
  };

  const PathOptions& path(HostId from, HostId to) const;
  std::uint32_t intern(std::vector<std::string>& names, std::string_view name);
  void countBytes(HostId from, HostId to, std::size_t bytes, TrafficClass traffic);
  void deliver(HostId to, base::Duration delay, std::function<void()> action);
  void forget(const Connection& connection);

  Scheduler& scheduler_;
  NetworkOptions options_;
  base::SeededRandom random_;
  std::vector<Host> hosts_;
  std::map<base::Endpoint, HostId> byEndpoint_;
  std::vector<std::string> zones_;
  std::vector<std::string> regions_;
  std::set<std::uint32_t> cutZones_;
  std::set<std::pair<std::uint32_t, std::uint32_t>> cutRegions_;
  NetworkCount count_;
  std::uint64_t nextConnection_ = 1;
};

}  // namespace covewing::sim
