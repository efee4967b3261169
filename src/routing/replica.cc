#include "routing/replica.h"

#include <algorithm>

namespace covewing::routing {

const ReplicaModel* Replica::findModel(std::string_view name) const {
  const auto found = std::ranges::find(models, name, &ReplicaModel::name);
  return found == models.end() ? nullptr : &*found;
}

}  // namespace covewing::routing
