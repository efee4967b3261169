/// \file
/// Keeps the node's configuration store current: reads accepted templates from the table service.
#pragma once

#include <memory>
#include <string_view>

#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "config/configuration_store.h"
#include "config/template_editor.h"
#include "membership/member_directory.h"
#include "platform/object_store_client.h"
#include "platform/table_client.h"

namespace covewing::config {

struct ConfigurationDistributorOptions {
  base::Duration scanPeriod = std::chrono::seconds(1);
  std::size_t rowsPerScan = 500;
};

class ConfigurationDistributor final : public base::PeerHandler, public AcceptedRowSink {
 public:
  ConfigurationDistributor(ConfigurationDistributorOptions options, base::Clock& clock,
                           base::TimerService& timers, base::RandomSource& random,
                           base::EventLog& log, base::PeerTransport& peers,
                           const membership::MemberDirectory& members, platform::TableClient& table,
                           platform::ObjectStoreClient& objects, ConfigurationStore& store);
  ~ConfigurationDistributor() override;
  ConfigurationDistributor(const ConfigurationDistributor&) = delete;
  ConfigurationDistributor& operator=(const ConfigurationDistributor&) = delete;

  void start();
  /// The process was paused: freshness is checked before it counts again.
  void onWake();
  void onAccepted(const platform::TableRow& row) override;
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

 private:
  void scan();
  void onScanned(base::TimePoint askedAt, const platform::TableReply& reply);

  ConfigurationDistributorOptions options_;
  base::Clock& clock_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  platform::TableClient& table_;
  ConfigurationStore& store_;
  base::TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace covewing::config
