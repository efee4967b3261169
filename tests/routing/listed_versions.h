// Replicas of several software versions, as a node lists them.
#pragma once

#include <string>

#include "routing/software_versions.h"

namespace covewing::routing::testing {

class ListedVersions {
 public:
  explicit ListedVersions(std::string service) : service_(std::move(service)) {}

  /// Lists one more replica of the version.
  void add(const std::string& version) {
    Replica replica;
    replica.instance = version + '/' + std::to_string(++added_);
    replica.service = service_;
    replica.softwareVersion = version;
    replicas_.onListed(std::move(replica));
  }
  /// Removes all replicas of the version.
  void remove(const std::string& version, base::TimePoint now) {
    for (const auto& record : ReplicaDirectory::Replicas{replicas_.ofService(service_)}) {
      if (record->facts().softwareVersion != version) continue;
      versions.onRemoved(record->facts(), now);
      replicas_.onRemoved(std::string{record->facts().instance});
    }
  }

 private:
  std::string service_;
  std::size_t added_ = 0;
  ReplicaDirectory replicas_;

 public:
  SoftwareVersions versions{replicas_};
};

}  // namespace covewing::routing::testing
