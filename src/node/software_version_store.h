/// \file
/// Stores in the table service which software versions the replicas of each service have had
/// lately, for nodes that start later. If all nodes start at once, none of them has seen which
/// versions may have begun the streams that callers take up now.
///
/// A row per service holds the listed versions and those that were listed lately, with the time at
/// which the last replica of each was gone, by the table service's own clock. Two nodes write it
/// when their list differs from it; the row is read only for a stream whose version is unknown.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "node/version_store_environment.h"

namespace covewing::node {

class SoftwareVersionStore {
 public:
  /// Receives the only version that replicas of the service have had; empty if there were several
  /// or if that is not known.
  using Callback = std::function<void(const std::optional<std::string>&)>;

  explicit SoftwareVersionStore(VersionStoreEnvironment environment)
      : environment_(std::move(environment)) {}
  ~SoftwareVersionStore();
  SoftwareVersionStore(const SoftwareVersionStore&) = delete;
  SoftwareVersionStore& operator=(const SoftwareVersionStore&) = delete;

  /// Starts to compare the list with the rows at intervals.
  void start();
  /// The table service was restored from an older backup: rows are written again.
  void onStoreReturned() { known_.clear(); }
  /// Reads the only version of the last `age`. Calls `found` exactly once, at the latest after
  /// kReadTimeout.
  void findSoleVersion(const std::string& service, base::Duration age, Callback found);

  static constexpr base::Duration kReadTimeout = std::chrono::milliseconds(300);

 private:
  struct Version {
    std::string name;
    /// When the last replica was gone; empty while there is one.
    std::optional<base::Duration> goneAt;
  };
  using Versions = std::vector<Version>;
  /// A row as this node has last read or written it.
  struct KnownRow {
    Versions versions;
    base::Revision revision = 0;
    bool writing = false;
  };

  static std::string encode(const Versions& versions);
  static std::optional<Versions> decode(std::string_view value);
  /// The only version that is listed or was gone after `since`; empty if there are several.
  static std::optional<std::string> soleVersion(const Versions& versions, base::Duration since);
  void check();
  void compare(const std::string& service);
  bool isWriter(const std::string& service) const;
  void write(const std::string& service, Versions versions);
  void onWritten(const std::string& service, const Versions& written,
                 const clients::TableReply& reply);

  VersionStoreEnvironment environment_;
  std::map<std::string, KnownRow> known_;
  base::TimerId timer_ = 0;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::node
