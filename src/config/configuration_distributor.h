/// \file
/// Keeps the node's configuration store current and confirmed.
///
/// - Accepted rows are pushed from node to node at once: whoever did not have a row passes it on to
/// a
///   few others.
/// - Each node asks one of the tier above (config/distribution_tree.h) for the rows that came after
///   the revision up to which it is complete. The scanners ask the table service. The answer brings
///   what pushes lost, and tells how long ago it was confirmed that nothing newer was accepted.
/// - A node without a whole copy asks in the same way, page after page, each page from another
/// node,
///   so that a restart of many loads all peers alike. Each node bounds what it sends.
/// - Random pairs of nodes compare digests, which finds rows that differ for whatever cause.
/// - A snapshot in the object store serves when all nodes start and the table service is down.
///
/// Nothing here writes the table service.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/object_store_client.h"
#include "clients/table_client.h"
#include "config/configuration_message.h"
#include "config/configuration_store.h"
#include "config/distribution_tree.h"
#include "config/snapshot_keeper.h"
#include "config/table_scanner.h"
#include "config/template_editor.h"
#include "membership/member_directory.h"

namespace covewing::config {

struct ConfigurationDistributorOptions {
  /// Asked for a copy while no member is known.
  std::vector<base::Endpoint> seeds{};
  TableScannerOptions scanning{};
  std::size_t scannersPerRegion = 2;
  /// Longest time that a node gives itself to learn the members before it judges who the scanners
  /// are.
  base::Duration joinGrace = std::chrono::milliseconds(1500);
  base::Duration refreshPeriod = std::chrono::seconds(1);
  /// A node that did not answer by then is not waited for.
  base::Duration replyTimeout = std::chrono::milliseconds(300);
  /// Wait before the next page when the one asked had none, or was busy.
  base::Duration copyRetry = std::chrono::milliseconds(150);
  std::size_t pageBytes = 64UL << 10U;
  /// Bound of the rows that this node sends to others for their copies, sustained and at once.
  double copyBytesPerSecond = 4 << 20U;
  double copyBurstBytes = 4 << 20U;
  /// Members that an accepted row is sent to by this node, and by each that it is new to.
  std::size_t firstPushFanout = 8;
  std::size_t pushFanout = 4;
  base::Duration digestPeriod = std::chrono::seconds(10);
  SnapshotKeeperOptions snapshot{};
};

class ConfigurationDistributor final : public base::PeerHandler, public AcceptedRowSink {
 public:
  ConfigurationDistributor(ConfigurationDistributorOptions options, base::Clock& clock,
                           base::TimerService& timers, base::RandomSource& random,
                           base::EventLog& log, base::PeerTransport& peers,
                           const membership::MemberDirectory& members, clients::TableClient& table,
                           clients::ObjectStoreClient& objects, ConfigurationStore& store);
  ~ConfigurationDistributor() override;
  ConfigurationDistributor(const ConfigurationDistributor&) = delete;
  ConfigurationDistributor& operator=(const ConfigurationDistributor&) = delete;

  void start();
  /// The process was paused: freshness is checked before it counts again.
  void onWake();
  void onAccepted(const clients::TableRow& row) override;
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

 private:
  /// A page request without an answer so far.
  struct Question {
    std::uint64_t nonce = 0;
    base::TimePoint askedAt;
  };

  void onTick();
  void onDigestTick();
  /// Whether this node has had the time to learn who the scanners are.
  bool judges(base::TimePoint now);
  void updateSnapshot();

  void ask();
  void askIn(base::Duration delay);
  void onNoAnswer();
  /// Asks another source, but after a few in a row only after `wait`.
  void askNext(base::Duration wait);
  std::optional<base::Endpoint> chooseSource();

  void handle(const base::PeerIdentity& sender, const RowPush& message);
  void handle(const base::PeerIdentity& sender, const PageRequest& message);
  void handle(const base::PeerIdentity& sender, const PageReply& message);
  void handle(const base::PeerIdentity& sender, const DigestProbe& message);
  void handle(const base::PeerIdentity& sender, const BucketDigestList& message);
  void handle(const base::PeerIdentity& sender, const BucketRows& message);
  void handle(const base::PeerIdentity& sender, const RowsWanted& message);

  void push(const std::vector<clients::TableRow>& rows, std::size_t fanout);
  void sendRows(const base::Endpoint& endpoint, std::vector<clients::TableRow> rows);
  void send(const base::Endpoint& endpoint, const ConfigurationMessage& message);
  const membership::Member* randomMember();
  /// Takes `bytes` from the bound on copies; false when it is used up.
  bool takeCopyBudget(std::size_t bytes);

  ConfigurationDistributorOptions options_;
  base::Clock& clock_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  base::EventLog& log_;
  base::PeerTransport& peers_;
  const membership::MemberDirectory& members_;
  ConfigurationStore& store_;
  DistributionTree tree_;
  TableScanner scanner_;
  SnapshotKeeper snapshots_;
  std::optional<Question> question_;
  /// Sources in a row that did not answer or had nothing new for a node without a copy.
  std::uint32_t fruitless_ = 0;
  base::TimePoint startedAt_;
  base::Duration grace_{};
  /// Version of the membership at the last tick, and for how many ticks it has not changed.
  std::uint64_t seenMembers_ = 0;
  std::uint32_t steadyTicks_ = 0;
  bool judges_ = false;
  double copyTokens_;
  base::TimePoint copyRefilledAt_;
  base::TimerId tickTimer_ = 0;
  base::TimerId askTimer_ = 0;
  base::TimerId digestTimer_ = 0;
};

}  // namespace covewing::config
