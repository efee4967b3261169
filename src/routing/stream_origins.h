/// \file
/// Finds out by which software version of its service a stream was begun, whichever node sent it
/// there, so that it is continued by the same version only.
///
/// Each stream has two homes among the live nodes, by rendezvous hashing of the identifier of the
/// attempt that began it. A node reports each dispatch of a stream that may be continued to both
/// while the replica reads the prompt; a node that is to continue the stream queries both at once.
/// So a lookup takes one round trip, and any one node may end without a stream being lost. The
/// record of the last dispatch counts: an earlier one did not bring an event.
///
/// If no home has a record (they are cut off, have just started, or run an earlier build), the
/// version is known from what a node stored in the table service when the stream's first event was
/// passed on, or if the replicas that may have begun the stream all had the same version, by this
/// node's own list and by that of a home; after a start of all nodes by a record in the table
/// service as well. Everything else is unknown, never "any version".
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/member_directory.h"
#include "routing/software_versions.h"
#include "routing/stream_origin_messages.h"

namespace covewing::routing {

struct StreamOriginOptions {
  /// Number of nodes that a dispatch is reported to.
  std::size_t homes = 2;
  /// Maximum wait for the replies of the homes.
  base::Duration timeout = std::chrono::milliseconds(150);
  /// Time by which a record outlasts the stream's own time: callers come back after it broke.
  base::Duration margin = std::chrono::seconds(5);
  base::Duration maximumRetention = std::chrono::minutes(5);
  /// Maximum number of records; beyond it the oldest are discarded, and their streams are unknown.
  std::size_t maximumRecords = 20'000;
};

/// All referenced objects must outlive the service and be used on its thread only.
struct StreamOriginEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  base::PeerTransport& peers;
  const membership::MemberDirectory& members;
  const SoftwareVersions& versions;
  /// Looks up in the table service which version was the only one of the service for the given
  /// time; may be empty.
  std::function<void(const std::string& service, base::Duration age,
                     std::function<void(const std::optional<std::string>&)>)>
      recordedVersion{};
  /// Stores for nodes that start later by what the stream was begun, for the given time; may be
  /// empty.
  std::function<void(StreamId stream, const StreamOrigin& origin, base::Duration keepFor)>
      storeOrigin{};
  /// Looks up what nodes have stored of the stream; may be empty.
  std::function<void(StreamId stream,
                     std::function<void(const std::optional<StreamOrigin>&)> found)>
      findStoredOrigin{};
};

/// How the version of a stream was found out.
enum class OriginSource : std::uint8_t { kOwnRecord, kHome, kStoredRecord, kSoleVersion };
std::string_view toString(OriginSource source);

struct FoundOrigin {
  std::string service;
  std::string softwareVersion;
  OriginSource source = OriginSource::kOwnRecord;
};

class StreamOrigins final : public base::PeerHandler {
 public:
  /// Receives the version that began the stream; empty if it is unknown.
  using FoundCallback = std::function<void(const std::optional<FoundOrigin>&)>;

  StreamOrigins(StreamOriginOptions options, StreamOriginEnvironment environment)
      : options_(options), environment_(std::move(environment)) {}
  ~StreamOrigins() override;
  StreamOrigins(const StreamOrigins&) = delete;
  StreamOrigins& operator=(const StreamOrigins&) = delete;

  /// Records at this node and at the homes that the stream is sent to a replica of this version.
  /// `timeLeft` is the time that the caller and the route leave it.
  void report(StreamId stream, StreamOrigin origin, base::Duration timeLeft);
  /// The first event of the stream was passed on. From now on it belongs to the version that sent
  /// it, which is stored beyond the ends of nodes.
  void onFirstEvent(StreamId stream, const StreamOrigin& origin, base::Duration timeLeft);
  /// Finds the service and version that began the stream, at most `age` ago. `service` is the only
  /// service that can have begun it, or empty if there may be several. Calls `found` exactly once;
  /// calls it before returning if nobody has to be queried.
  void find(StreamId stream, const std::string& service, base::Duration age, FoundCallback found);
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

  std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    StreamOrigin origin;
    /// This node has sent the attempt, so no other node can know of a later dispatch.
    bool own = false;
    base::TimePoint discardAt{};
  };
  struct Search {
    StreamId stream;
    std::string service;
    base::Duration age{};
    std::size_t pendingReplies = 0;
    base::TimerId timer = 0;
    /// The latest origin of which this node has a record or that a home returned.
    std::optional<StreamOrigin> origin;
    /// What each home says of the versions of the service; empty elements for those that do not
    /// know.
    std::vector<std::optional<SoleVersion>> soleVersions;
    FoundCallback found;
  };

  /// Homes of the stream, the first one first; this node may be among them. Valid until the
  /// membership changes.
  std::vector<const membership::Member*> homesOf(StreamId stream) const;
  void send(const base::Endpoint& destination, const StreamOriginMessage& message);
  void store(StreamId stream, const Record& record);
  base::TimePoint discardTime(base::Duration keepFor) const;
  void discardExpired();
  /// Null if there is none that is valid.
  const Record* recordOf(StreamId stream) const;
  void onQuery(const base::PeerIdentity& sender, const StreamQuery& query);
  void onReply(const StreamReply& reply);
  /// Ends the search with what is known by now.
  void conclude(std::uint64_t nonce);
  /// The only version of the service now, by the lists of this node and the homes.
  std::optional<SoleVersion> agreedVersion(const Search& search) const;
  /// Whether a home has confirmed this node's list, or there is no other node.
  bool confirmedByOthers(const Search& search) const;
  /// Ends a search for which no live node has a record: by a stored one, or if all replicas that
  /// may have begun the stream had one version.
  void concludeWithoutRecord(const Search& search) const;
  void concludeByStoredRecord(const Search& search, std::function<void()> notFound) const;
  /// Ends a search by what the table service tells of the versions that the service has had.
  void concludeByRecordedVersion(const Search& search, const SoleVersion& agreed) const;

  StreamOriginOptions options_;
  StreamOriginEnvironment environment_;
  std::unordered_map<StreamId, Record> records_;
  /// Streams with a record, in the order in which these were made.
  std::deque<StreamId> order_;
  std::unordered_map<std::uint64_t, Search> searches_;
};

}  // namespace covewing::routing
