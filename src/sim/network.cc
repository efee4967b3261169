#include "sim/network.h"

#include <algorithm>

namespace covewing::sim {

namespace {
/// IPv4 and UDP headers of one datagram.
constexpr std::size_t kDatagramHeader = 28;
/// IPv4 and TCP headers of one segment, timestamps option included.
constexpr std::size_t kSegmentHeader = 52;
constexpr std::size_t kSegmentPayload = 1448;
/// Segments of the handshake and of the closing that each end sends.
constexpr std::size_t kHandshakeBytes = 2 * kSegmentHeader;
/// Delay of a message whose segment was lost and sent again.
constexpr base::Duration kRetransmission = std::chrono::milliseconds(200);

std::uint64_t controlBytes(const std::array<std::uint64_t, kTrafficClassCount>& bytes) {
  std::uint64_t sum = 0;
  for (std::size_t index = 0; index < kTrafficClassCount; ++index) {
    if (index != static_cast<std::size_t>(TrafficClass::kData)) sum += bytes.at(index);
  }
  return sum;
}

std::pair<std::uint32_t, std::uint32_t> ordered(std::uint32_t left, std::uint32_t right) {
  return {std::min(left, right), std::max(left, right)};
}
}  // namespace

std::uint64_t TrafficCount::controlSent() const { return controlBytes(sent); }
std::uint64_t TrafficCount::controlReceived() const { return controlBytes(received); }

// --- Connection

Connection::Connection(Network& network, std::uint64_t id, HostId client, HostId server,
                       TrafficClass traffic)
    : network_(network), id_(id), hosts_{client, server}, traffic_(traffic) {}

void Connection::onClosed(Side side, std::function<void()> callback) {
  closed_.at(index(side)) = std::move(callback);
}

void Connection::send(Side from, std::size_t bytes, std::function<void()> deliver) {
  if (!open_) return;
  const auto sender = host(from);
  const auto receiver = host(other(from));
  if (!network_.reachable(sender, receiver)) {
    ++network_.count_.cut;
    const auto timeout = network_.options_.connectionTimeout;
    fail(timeout, timeout);
    return;
  }
  const auto segments = bytes / kSegmentPayload + 1;
  network_.countBytes(sender, receiver, bytes + segments * kSegmentHeader, traffic_);
  network_.countBytes(receiver, sender, (segments + 1) / 2 * kSegmentHeader, traffic_);
  auto delay = network_.latency(sender, receiver);
  if (network_.random_.unit() < network_.path(sender, receiver).loss) delay += kRetransmission;
  auto& last = lastArrival_.at(index(other(from)));
  last = std::max(last, network_.scheduler_.now() + delay);
  auto self = shared_from_this();
  network_.deliver(receiver, last - network_.scheduler_.now(),
                   [self = std::move(self), deliver = std::move(deliver)] { deliver(); });
}

void Connection::close(Side by) {
  if (!open_) return;
  const auto far = other(by);
  if (!network_.reachable(host(by), host(far))) {
    // The far end finds out by itself; the near end asked for it.
    closed_.at(index(by)) = nullptr;
    const auto timeout = network_.options_.connectionTimeout;
    fail(timeout, timeout);
    return;
  }
  open_ = false;
  network_.forget(*this);
  closed_.at(index(by)) = nullptr;
  const auto arrival = network_.scheduler_.now() + network_.latency(host(by), host(far));
  tell(far, std::max(arrival, lastArrival_.at(index(far))));
}

void Connection::fail(base::Duration tellClient, base::Duration tellServer) {
  if (!open_) return;
  open_ = false;
  ++network_.count_.brokenConnections;
  network_.forget(*this);
  const auto now = network_.scheduler_.now();
  tell(Side::kClient, std::max(now + tellClient, lastArrival_.at(index(Side::kClient))));
  tell(Side::kServer, std::max(now + tellServer, lastArrival_.at(index(Side::kServer))));
}

void Connection::tell(Side side, base::TimePoint time) {
  network_.deliver(host(side), time - network_.scheduler_.now(), [self = shared_from_this(), side] {
    const auto callback = std::exchange(self->closed_.at(index(side)), nullptr);
    if (callback) callback();
  });
}

// --- Network

Network::Network(Scheduler& scheduler, NetworkOptions options, std::uint64_t seed)
    : scheduler_(scheduler), options_(options), random_(seed) {}

std::uint32_t Network::intern(std::vector<std::string>& names, std::string_view name) {
  const auto found = std::ranges::find(names, name);
  const auto position = static_cast<std::uint32_t>(found - names.begin());
  if (found == names.end()) names.emplace_back(name);
  return position;
}

HostId Network::addHost(Process& process, const base::Endpoint& endpoint, std::string_view zone,
                        std::string_view region) {
  const auto id = static_cast<HostId>(hosts_.size());
  Host host;
  host.process = &process;
  host.zone = intern(zones_, zone);
  host.region = intern(regions_, region);
  hosts_.push_back(std::move(host));
  byEndpoint_[endpoint] = id;
  return id;
}

const HostId* Network::findHost(const base::Endpoint& endpoint) const {
  const auto found = byEndpoint_.find(endpoint);
  return found == byEndpoint_.end() ? nullptr : &found->second;
}

void Network::cutZone(std::string_view zone, bool cut) {
  const auto id = intern(zones_, zone);
  if (cut) {
    cutZones_.insert(id);
  } else {
    cutZones_.erase(id);
  }
}

void Network::cutRegions(std::string_view left, std::string_view right, bool cut) {
  const auto pair = ordered(intern(regions_, left), intern(regions_, right));
  if (cut) {
    cutRegions_.insert(pair);
  } else {
    cutRegions_.erase(pair);
  }
}

bool Network::reachable(HostId from, HostId to) const {
  const auto& source = hosts_[from];
  const auto& target = hosts_[to];
  if (source.zone != target.zone &&
      (cutZones_.contains(source.zone) || cutZones_.contains(target.zone))) {
    return false;
  }
  return !cutRegions_.contains(ordered(source.region, target.region));
}

const PathOptions& Network::path(HostId from, HostId to) const {
  const auto& source = hosts_[from];
  const auto& target = hosts_[to];
  if (source.zone == target.zone) return options_.sameZone;
  return source.region == target.region ? options_.sameRegion : options_.acrossRegions;
}

base::Duration Network::latency(HostId from, HostId to) {
  const auto& options = path(from, to);
  const auto jitter = random_.below(static_cast<std::uint64_t>(options.jitter.count()) + 1);
  return options.oneWay + base::Duration(static_cast<base::Duration::rep>(jitter));
}

void Network::countBytes(HostId from, HostId to, std::size_t bytes, TrafficClass traffic) {
  hosts_[from].traffic.sent.at(static_cast<std::size_t>(traffic)) += bytes;
  hosts_[to].traffic.received.at(static_cast<std::size_t>(traffic)) += bytes;
}

void Network::deliver(HostId to, base::Duration delay, std::function<void()> action) {
  auto& process = *hosts_[to].process;
  if (process.crashed()) return;
  // A process that restarts before the delivery is another one: it gets nothing of this.
  const auto incarnation = process.incarnation();
  scheduler_.after(delay, [&process, incarnation, action = std::move(action)]() mutable {
    if (process.incarnation() == incarnation) process.dispatch(std::move(action));
  });
}

void Network::sendDatagram(HostId from, HostId to, std::size_t bytes, TrafficClass traffic,
                           const std::function<void()>& deliver) {
  if (hosts_[from].process->crashed()) return;
  ++count_.datagrams;
  hosts_[from].traffic.sent.at(static_cast<std::size_t>(traffic)) += bytes + kDatagramHeader;
  if (!reachable(from, to)) {
    ++count_.cut;
    return;
  }
  const auto& options = path(from, to);
  if (random_.unit() < options.loss) {
    ++count_.lost;
    return;
  }
  auto copies = 1;
  if (random_.unit() < options.duplicate) {
    ++count_.duplicated;
    ++copies;
  }
  for (; copies > 0; --copies) {
    auto delay = latency(from, to);
    if (random_.unit() < options.reorder) {
      ++count_.reordered;
      delay += options.reorderDelay;
    }
    hosts_[to].traffic.received.at(static_cast<std::size_t>(traffic)) += bytes + kDatagramHeader;
    // A datagram reaches whichever process has the address when it arrives.
    scheduler_.after(delay,
                     [&process = *hosts_[to].process, deliver] { process.dispatch(deliver); });
  }
}

void Network::connect(HostId from, HostId to, TrafficClass traffic,
                      std::function<void(ConnectResult, ConnectionPtr)> callback) {
  if (hosts_[from].process->crashed()) return;
  if (!reachable(from, to)) {
    ++count_.cut;
    deliver(from, options_.connectionTimeout,
            [callback = std::move(callback)] { callback(ConnectResult::kTimedOut, nullptr); });
    return;
  }
  countBytes(from, to, kHandshakeBytes, traffic);
  countBytes(to, from, kHandshakeBytes, traffic);
  const auto roundTrip = latency(from, to) + latency(to, from);
  deliver(from, roundTrip, [this, from, to, traffic, callback = std::move(callback)] {
    if (hosts_[to].process->crashed()) {
      callback(ConnectResult::kRefused, nullptr);
      return;
    }
    auto connection = std::make_shared<Connection>(*this, nextConnection_++, from, to, traffic);
    hosts_[from].connections.emplace(connection->id(), connection);
    hosts_[to].connections.emplace(connection->id(), connection);
    callback(ConnectResult::kConnected, connection);
  });
}

void Network::breakConnections(HostId host) {
  const auto broken = std::exchange(hosts_[host].connections, {});
  for (const auto& [id, weak] : broken) {
    const auto connection = weak.lock();
    if (connection == nullptr) continue;
    const auto client = connection->host(Connection::Side::kClient);
    const auto server = connection->host(Connection::Side::kServer);
    if (reachable(client, server)) {
      connection->fail(latency(server, client), latency(client, server));
    } else {
      connection->fail(options_.connectionTimeout, options_.connectionTimeout);
    }
  }
}

void Network::forget(const Connection& connection) {
  hosts_[connection.host(Connection::Side::kClient)].connections.erase(connection.id());
  hosts_[connection.host(Connection::Side::kServer)].connections.erase(connection.id());
}

}  // namespace covewing::sim
