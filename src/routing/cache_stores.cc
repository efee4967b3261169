#include "routing/cache_stores.h"

#include <algorithm>
#include <utility>

namespace covewing::routing {

namespace {

/// No replica has an instance of this form.
constexpr std::string_view kNamePrefix = "store/";

}  // namespace

void CacheStores::update(const config::RouteTable& table) {
  std::vector<CacheStoreState> stores;
  for (const auto& service : table.services()) {
    if (!service.cacheStore) continue;
    const auto& store = *service.cacheStore;
    std::string name = std::string{kNamePrefix} + base::toString(store.endpoint);
    const auto* known = find(name);
    const bool available = known != nullptr && known->available;
    stores.push_back({std::move(name), store.endpoint, store.zone, store.eventWatchers, available});
  }
  stores_ = std::move(stores);
}

const CacheStoreState* CacheStores::find(std::string_view name) const {
  const auto found = std::ranges::find(stores_, name, &CacheStoreState::name);
  return found == stores_.end() ? nullptr : &*found;
}

void CacheStores::setAvailable(std::string_view name, bool available) {
  const auto found = std::ranges::find(stores_, name, &CacheStoreState::name);
  if (found != stores_.end()) found->available = available;
}

const CacheStoreState* CacheStores::choose(std::string_view zone) const {
  const CacheStoreState* chosen = nullptr;
  for (const auto& store : stores_) {
    if (!store.available) continue;
    if (chosen == nullptr || (store.zone == zone && chosen->zone != zone)) chosen = &store;
  }
  return chosen;
}

}  // namespace covewing::routing
