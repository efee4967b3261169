/// \file
/// The platform's machine list as the fleet knows it together. Reading the whole list is dear (a
/// hundred kilobytes at 640 engines), so the nodes share it: the more nodes there are, the more
/// seldom each one reads, and whoever finds a change tells all others by a gossip record.
///
/// - The mean time between two reads by any node is constant; a node's own reads come at random
///   times, so that nobody is set aside for them and a part of the fleet that is cut off reads
///   more often by itself.
/// - The list lags, and its replicas may differ: what was heard lately wins over what is read.
/// - A node reads the list once at its start. What it finds then is news to itself only, and is
///   not spread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/random.h"
#include "base/time.h"
#include "clients/machine_list_client.h"
#include "membership/member_directory.h"

namespace covewing::routing {

/// Key prefix of the records that tell of changes in the machine list; the machine's name follows.
inline constexpr std::string_view kMachineRecordPrefix = "machine/";

struct MachineListWatchOptions {
  /// Mean time between two reads by all nodes together.
  base::Duration fleetInterval = std::chrono::milliseconds(500);
  /// Shortest mean time between two reads by one node.
  base::Duration minimumInterval = std::chrono::seconds(2);
  /// Spread of the minimum interval.
  double jitter = 0.2;
  /// A record that came within this time wins over what is read.
  base::Duration recordPrecedence = std::chrono::seconds(10);
};

/// All must outlive the watch and share its thread.
struct MachineListWatchEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  clients::MachineListClient& machines;
  const membership::MemberDirectory& members;
  membership::RecordDissemination& records;
};

/// Observer of the list. Calls come on the node's thread.
class MachineObserver {
 public:
  virtual ~MachineObserver() = default;
  /// The machine is new, or something about it changed.
  virtual void onMachine(const clients::Machine& machine) = 0;
  /// The machine is no longer in the list.
  virtual void onMachineRemoved(const clients::Machine& machine) = 0;
};

class MachineListWatch {
 public:
  MachineListWatch(MachineListWatchOptions options, MachineListWatchEnvironment environment,
                   MachineObserver& observer);
  MachineListWatch(const MachineListWatch&) = delete;
  MachineListWatch& operator=(const MachineListWatch&) = delete;

  /// Reads the list and listens to other nodes' records; call once.
  void start();
  /// The list was read since the start.
  bool hasReadList() const { return hasReadList_; }

 private:
  struct Entry {
    clients::Machine machine;
    bool removed = false;
    std::uint64_t recordVersion = 0;
    /// When another node told of it, or this one told others.
    std::optional<base::TimePoint> recordAt;
  };

  void read();
  void scheduleRead();
  base::Duration readDelay();
  void onList(const std::vector<clients::Machine>& machines);
  void onListed(const clients::Machine& machine);
  void onMissing(Entry& entry);
  void onRecord(const membership::GossipRecord& record);
  bool recordIsRecent(const Entry& entry) const;
  void publish(Entry& entry);

  MachineListWatchOptions options_;
  MachineListWatchEnvironment environment_;
  MachineObserver& observer_;
  /// By name.
  std::map<std::string, Entry, std::less<>> entries_;
  bool hasReadList_ = false;
  /// Outlived by callbacks that must no longer reach this object.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

/// Value of the record "machine/NAME".
struct MachineRecord {
  clients::Machine machine;
  bool removed = false;
};
std::string encodeMachineRecord(const MachineRecord& record);
/// The record's machine has no name. Empty when the bytes are not a record.
std::optional<MachineRecord> decodeMachineRecord(std::string_view bytes);

}  // namespace covewing::routing
