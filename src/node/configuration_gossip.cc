#include "node/configuration_gossip.h"

#include <charconv>
#include <string_view>

namespace covewing::node {

namespace {

constexpr std::string_view kEraKey = "store-era";
constexpr std::string_view kTableKey = "newest/route-table";
constexpr std::string_view kWeightsPrefix = "newest/weights/";

/// Version of the record of an era: a later era has a higher version than an earlier one, and a
/// record with the restore time has a higher version than one without it.
std::uint64_t recordVersion(base::StoreEra era, bool withTime) {
  return 2 * (std::uint64_t{era} + 1) + (withTime ? 1 : 0);
}
std::optional<base::StoreEra> eraOfRecord(std::uint64_t version) {
  const auto era = version / 2 - 1;
  if (version < 2 || era > base::kLargestStoreEra) return std::nullopt;
  return static_cast<base::StoreEra>(era);
}

std::optional<base::Duration> parseDuration(std::string_view text) {
  base::Duration::rep count = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, count);
  if (error != std::errc{} || stopped != end) return std::nullopt;
  return base::Duration{count};
}

}  // namespace

void ConfigurationGossip::start() {
  auto& records = environment_.records;
  records.subscribe(std::string{kEraKey},
                    [this](const membership::GossipRecord& record) { onEraRecord(record); });
  records.subscribe(std::string{kTableKey}, [this](const membership::GossipRecord& record) {
    environment_.configuration.onPeerTableVersion(record.version);
  });
  records.subscribe(std::string{kWeightsPrefix},
                    [this](const membership::GossipRecord& record) { onWeightsRecord(record); });
}

void ConfigurationGossip::publishTableVersion(std::uint64_t version) {
  environment_.records.publish({std::string{kTableKey}, version, {}});
}

void ConfigurationGossip::publishWeightsVersion(const AnnouncedWeights& weights) {
  environment_.records.publish({std::string{kWeightsPrefix} + weights.model, weights.version, {}});
}

void ConfigurationGossip::onWeightsRecord(const membership::GossipRecord& record) {
  environment_.configuration.onPeerWeightsVersion(
      {record.key.substr(kWeightsPrefix.size()), record.version});
}

void ConfigurationGossip::onEraRecord(const membership::GossipRecord& record) {
  const auto era = eraOfRecord(record.version);
  if (!era || !environment_.eras.note(*era, "gossip")) return;
  reportedRestoreTime_ = parseDuration(record.value);
  applyReportedRestoreTime();
}

void ConfigurationGossip::applyReportedRestoreTime() {
  const auto now = environment_.serviceClock();
  if (!reportedRestoreTime_ || !now || !publishedEra_ ||
      *publishedEra_ != environment_.eras.current())
    return;
  environment_.eras.onReturnTold(*now - *reportedRestoreTime_);
}

void ConfigurationGossip::onStoreReturned() {
  reportedRestoreTime_.reset();
  // Published before this node has read anything again, so that other nodes are informed early.
  publishEra(std::nullopt);
}

void ConfigurationGossip::onFeedCurrent() {
  const auto era = environment_.eras.known();
  if (!era) return;
  const bool first = publishedEra_ != era;
  if (first) publishEra(std::nullopt);
  applyReportedRestoreTime();
  const auto restoredAt = environment_.eras.returnedAt();
  const auto serviceNow = environment_.serviceClock();
  if (!restoredAt || !serviceNow || publishedRestoreEra_ == era) return;
  publishedRestoreEra_ = era;
  publishEra(*serviceNow - environment_.eras.sinceReturn());
}

void ConfigurationGossip::publishEra(std::optional<base::Duration> restoredAt) {
  const auto era = environment_.eras.current();
  publishedEra_ = era;
  environment_.records.publish({std::string{kEraKey}, recordVersion(era, restoredAt.has_value()),
                                restoredAt ? std::to_string(restoredAt->count()) : ""});
}

}  // namespace covewing::node
