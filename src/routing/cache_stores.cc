#include "routing/cache_stores.h"

#include <algorithm>
#include <utility>

#include "base/ids.h"

namespace covewing::routing {

namespace {

/// Prefix of store names. No replica has an instance name of this form, so that the names of stores
/// and replicas cannot collide.
constexpr std::string_view kNamePrefix = "store/";

}  // namespace

bool CacheStoreState::available() const {
  if (localAvailability) return *localAvailability;
  const auto availableReports =
      std::ranges::count_if(reportedAvailability, [](const auto& entry) { return entry.second; });
  return 2 * static_cast<std::size_t>(availableReports) > reportedAvailability.size();
}

void CacheStores::update(const config::RouteTable& table) {
  std::vector<CacheStoreState> stores;
  for (const auto& service : table.services()) {
    if (!service.cacheStore) continue;
    const auto& store = *service.cacheStore;
    std::string name = std::string{kNamePrefix} + base::toString(store.endpoint);
    CacheStoreState state;
    if (const auto* known = find(name)) state = *known;
    state.name = std::move(name);
    state.endpoint = store.endpoint;
    state.zone = store.zone;
    state.eventWatchers = store.eventWatchers;
    stores.push_back(std::move(state));
  }
  stores_ = std::move(stores);
}

const CacheStoreState* CacheStores::find(std::string_view name) const {
  const auto found = std::ranges::find(stores_, name, &CacheStoreState::name);
  return found == stores_.end() ? nullptr : &*found;
}

CacheStoreState* CacheStores::find(std::string_view name) {
  const auto found = std::ranges::find(stores_, name, &CacheStoreState::name);
  return found == stores_.end() ? nullptr : &*found;
}

void CacheStores::setLocalAvailability(std::string_view name, bool available) {
  auto* store = find(name);
  if (store == nullptr || store->localAvailability == available) return;
  store->localAvailability = available;
  if (listener_) listener_(store->name, available);
}

void CacheStores::clearLocalAvailability(std::string_view name) {
  if (auto* store = find(name)) store->localAvailability.reset();
}

void CacheStores::onReportedAvailability(std::string_view name, std::string_view node,
                                         bool available) {
  if (auto* store = find(name)) store->reportedAvailability[std::string{node}] = available;
}

const CacheStoreState* CacheStores::choose(std::uint64_t part) const {
  const CacheStoreState* chosen = nullptr;
  std::uint64_t best = 0;
  for (const auto& store : stores_) {
    if (!store.available()) continue;
    const auto score = base::mixHash(part, base::hashName(store.name));
    if (chosen != nullptr && score <= best) continue;
    chosen = &store;
    best = score;
  }
  return chosen;
}

}  // namespace covewing::routing
