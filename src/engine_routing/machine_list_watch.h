/// \file
/// The platform's machine list, which the nodes read jointly. Reading the complete list is
/// expensive (a hundred kilobytes at 640 engines), so the nodes share the reads: the more nodes
/// there are, the less often each one reads. A node that finds a change publishes it to all others
/// as a gossip record.
///
/// - The mean interval between two reads by any node is constant. Each node reads at random times,
///   so that no node has to be designated as the reader, and a partition of the fleet automatically
///   reads more often per node.
/// - The list lags behind and its replicas may differ, so a recent record takes precedence over the
///   list.
/// - A node reads the list once when it starts. What it finds then is new only to itself and is not
///   published.
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

namespace covewing::engine_routing {

/// Key prefix of the records that report changes of the machine list, followed by the machine's
/// name.
inline constexpr std::string_view kMachineRecordPrefix = "machine/";

struct MachineListWatchOptions {
  /// Mean interval between two reads by any node of the fleet.
  base::Duration fleetInterval = std::chrono::milliseconds(500);
  /// Minimum mean interval between two reads by the same node.
  base::Duration minimumInterval = std::chrono::seconds(2);
  /// Relative jitter of the minimum interval.
  double jitter = 0.2;
  /// A record takes precedence over the list for this long after it was received or published.
  base::Duration recordPrecedence = std::chrono::seconds(10);
};

/// All references must outlive the watch and are used on its thread.
struct MachineListWatchEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  clients::MachineListClient& machines;
  const membership::MemberDirectory& members;
  membership::RecordDissemination& records;
};

/// Observer of changes of the list. Called on the node's thread.
class MachineObserver {
 public:
  virtual ~MachineObserver() = default;
  /// The machine is new or one of its attributes has changed.
  virtual void onMachine(const clients::Machine& machine) = 0;
  /// The machine was removed from the list.
  virtual void onMachineRemoved(const clients::Machine& machine) = 0;
};

class MachineListWatch {
 public:
  MachineListWatch(MachineListWatchOptions options, MachineListWatchEnvironment environment,
                   MachineObserver& observer);
  MachineListWatch(const MachineListWatch&) = delete;
  MachineListWatch& operator=(const MachineListWatch&) = delete;

  /// Reads the list and subscribes to the records of other nodes. Must be called once.
  void start();
  /// Whether the list has been read since the start.
  bool hasReadList() const { return hasReadList_; }

 private:
  struct Entry {
    clients::Machine machine;
    bool removed = false;
    std::uint64_t recordVersion = 0;
    /// Time at which a record about this machine was last received or published; empty if there was
    /// none.
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
  /// Entries by machine name.
  std::map<std::string, Entry, std::less<>> entries_;
  bool hasReadList_ = false;
  /// Expires with this object. Callbacks that may outlive it hold a weak pointer and do nothing
  /// once it has expired.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

/// Value of the gossip record "machine/NAME".
struct MachineRecord {
  clients::Machine machine;
  bool removed = false;
};
std::string encodeMachineRecord(const MachineRecord& record);
/// Empty if `bytes` is not a valid record. The machine of the result has no name, since the
/// record's key contains it.
std::optional<MachineRecord> decodeMachineRecord(std::string_view bytes);

}  // namespace covewing::engine_routing
