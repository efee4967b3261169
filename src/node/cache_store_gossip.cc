#include "node/cache_store_gossip.h"

#include <string_view>

namespace covewing::node {

namespace {

/// A record's key consists of this prefix, the store's name, a separator and the node's name.
constexpr std::string_view kRecordPrefix = "cache-store/";
constexpr char kSeparator = '|';
constexpr std::string_view kAvailable = "1";
constexpr std::string_view kUnavailable = "0";
/// Number of low bits of a record's version that hold the record counter; the node's incarnation
/// is above them.
constexpr unsigned kCounterBits = 12;

}  // namespace

CacheStoreGossip::CacheStoreGossip(const membership::MemberDirectory& members,
                                   membership::RecordDissemination& records,
                                   routing::CacheStores& stores)
    : members_(members), records_(records), stores_(stores) {
  stores_.onLocalAvailabilityChanged(
      [this](const std::string& store, bool available) { publish(store, available); });
}

void CacheStoreGossip::start() {
  records_.subscribe(std::string{kRecordPrefix},
                     [this](const membership::GossipRecord& record) { onRecord(record); });
}

void CacheStoreGossip::publish(const std::string& store, bool available) {
  const auto& self = members_.self();
  std::string key{kRecordPrefix};
  key.append(store).append(1, kSeparator).append(self.name);
  const std::uint64_t version = (self.incarnation << kCounterBits) + ++recordCounter_;
  records_.publish({std::move(key), version, std::string{available ? kAvailable : kUnavailable}});
}

void CacheStoreGossip::onRecord(const membership::GossipRecord& record) {
  const auto storeAndNode = std::string_view{record.key}.substr(kRecordPrefix.size());
  const auto separator = storeAndNode.rfind(kSeparator);
  if (separator == std::string_view::npos) return;
  stores_.onReportedAvailability(storeAndNode.substr(0, separator),
                                 storeAndNode.substr(separator + 1), record.value == kAvailable);
}

}  // namespace covewing::node
