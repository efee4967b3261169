/// \file
/// Stores in the table service by which software version streams were begun, for nodes that start
/// later. If all nodes end at once, nothing else that survives them knows it: the callers name the
/// attempts that they continue, and the replicas do not tell whose streams they began.
///
/// A stream is recorded once its first event is passed on, because from then on it belongs to one
/// version whatever happens. It is recorded only while its service has, or lately had, replicas of
/// several versions. A node writes at once, but not more often than at an interval, so a stream
/// that ends soon after its first event may have no record: its version is unknown then, never
/// another one.
///
/// Each node writes a ring of rows by the table service's clock: all records of one span of time
/// are in one row, which is written again as records are added, and is overwritten one turn later.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "node/version_store_environment.h"
#include "routing/stream_origin_messages.h"

namespace covewing::node {

struct StreamOriginStoreOptions {
  /// Interval at which the store looks for streams that have to be recorded now since their service
  /// has got a second version, and for records that the table service did not take.
  base::Duration reviewInterval = std::chrono::milliseconds(500);
  /// Minimum interval between two writes of this node.
  base::Duration writeInterval = std::chrono::milliseconds(50);
  /// Bound on the writes of all nodes together, per second: with more nodes, each writes less
  /// often.
  std::size_t fleetWritesPerSecond = 100;
  /// Span of time whose records are in one row, and number of rows of a node. Together they exceed
  /// the time for which callers continue streams.
  base::Duration rowSpan = std::chrono::seconds(4);
  std::int64_t rows = 16;
  /// Maximum number of records in one row, to stay below the size limit of rows; more are dropped.
  std::size_t maximumRecordsPerRow = 4'000;
  /// Maximum number of streams that wait to be recorded or that were read; the oldest are dropped.
  std::size_t maximumStreams = 20'000;
  /// Maximum wait for the records in `find`.
  base::Duration readTimeout = std::chrono::milliseconds(400);
};

class StreamOriginStore {
 public:
  using Callback = std::function<void(const std::optional<routing::StreamOrigin>&)>;

  StreamOriginStore(StreamOriginStoreOptions options, VersionStoreEnvironment environment)
      : options_(options), environment_(std::move(environment)) {}
  ~StreamOriginStore();
  StreamOriginStore(const StreamOriginStore&) = delete;
  StreamOriginStore& operator=(const StreamOriginStore&) = delete;

  void start();
  /// The table service was restored from an older backup: the current row is written again.
  void onStoreReturned() { unwritten_ = !row_.origins.empty(); }
  /// The first event of the stream was passed on, from a replica of this version. The stream may be
  /// continued for `keepFor`.
  void add(routing::StreamId stream, const routing::StreamOrigin& origin, base::Duration keepFor);
  /// Looks up the stream in the records of all nodes. Calls `found` exactly once, at the latest
  /// after the read timeout; with nothing if there is no record.
  void find(routing::StreamId stream, Callback found);

 private:
  /// Streams by service and software version.
  using Origins = std::map<std::pair<std::string, std::string>, std::vector<routing::StreamId>>;
  struct Row {
    /// Number of the row's span of time since the start of the service's clock.
    std::int64_t span = -1;
    Origins origins;
    std::size_t records = 0;
  };
  struct Waiting {
    routing::StreamId stream;
    routing::StreamOrigin origin;
    base::TimePoint dropAt{};
  };
  struct Search {
    routing::StreamId stream;
    Callback found;
    base::TimerId timer = 0;
  };
  static std::string encode(const Row& row);
  static std::optional<Row> decode(std::string_view value);
  base::Duration interval() const;
  void review();
  /// Writes what waits to be recorded: at once, or when the next write is due.
  void recordWhenDue();
  /// Writes what waits to be recorded, unless a call is in flight.
  void record();
  void onWritten(const clients::TableReply& reply);
  /// Goes on with the row of the current span of time.
  void turnRow(std::int64_t span);
  /// Whether a stream of the service has to be recorded.
  bool needsRecords(const std::string& service) const;
  /// Moves the streams whose services need records to the current row.
  void collect();
  void append(const Waiting& stream);
  std::string keyOf(std::int64_t span) const;
  void write();
  /// Reads the row that an earlier process of this node may have begun in the current span.
  void readOwnRow(std::int64_t span);
  void onOwnRow(std::int64_t span, const clients::TableReply& reply);
  void readAll();
  void onRead(const clients::TableReply& reply);
  void conclude(std::uint64_t number);

  StreamOriginStoreOptions options_;
  VersionStoreEnvironment environment_;
  std::deque<Waiting> waiting_;
  Row row_;
  /// The row holds records that are not known to be stored.
  bool unwritten_ = false;
  bool writing_ = false;
  base::TimePoint wroteAt_{};
  /// Whether the row of the span in which this process started has been read.
  bool ownRowRead_ = false;
  /// Records of all nodes as they were last read, and when that was.
  std::unordered_map<routing::StreamId, routing::StreamOrigin> read_;
  base::TimePoint readAt_{};
  std::map<std::uint64_t, Search> searches_;
  std::uint64_t lastSearch_ = 0;
  bool reading_ = false;
  base::TimerId reviewTimer_ = 0;
  /// Pending while a write is not due yet.
  std::optional<base::TimerId> writeTimer_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::node
