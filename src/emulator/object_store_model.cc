#include "emulator/object_store_model.h"

#include <utility>

namespace covewing::emulator {

using clients::ObjectReply;
using clients::ObjectStatus;

bool ObjectStoreModel::accept(const clients::ObjectCallback& callback) {
  if (conditions_.isDown()) {
    answer(ObjectReply{ObjectStatus::kUnavailable, {}}, base::Duration{0}, callback);
    return false;
  }
  if (!conditions_.admit(clock_.now())) {
    answer(ObjectReply{ObjectStatus::kRateLimited, {}}, base::Duration{0}, callback);
    return false;
  }
  return true;
}

void ObjectStoreModel::answer(ObjectReply reply, base::Duration delay,
                              clients::ObjectCallback callback) {
  timers_.schedule(delay, [reply = std::move(reply), callback = std::move(callback)]() mutable {
    callback(std::move(reply));
  });
}

void ObjectStoreModel::get(std::string name, clients::ObjectCallback callback) {
  if (!accept(callback)) return;
  const base::Duration half = conditions_.drawLatency(random_) / 2;
  timers_.schedule(half, [this, half, name = std::move(name), callback = std::move(callback)] {
    const auto found = objects_.find(name);
    if (found == objects_.end()) {
      answer(ObjectReply{ObjectStatus::kNotFound, {}}, half, callback);
      return;
    }
    answer(ObjectReply{ObjectStatus::kOk, found->second}, half, callback);
  });
}

void ObjectStoreModel::put(std::string name, std::string bytes, clients::ObjectCallback callback) {
  if (!accept(callback)) return;
  const base::Duration half = conditions_.drawLatency(random_) / 2;
  timers_.schedule(half, [this, half, name = std::move(name), bytes = std::move(bytes),
                          callback = std::move(callback)]() mutable {
    objects_[name] = std::move(bytes);
    const bool lost = conditions_.drawAnswerLoss(random_);
    answer(ObjectReply{lost ? ObjectStatus::kUnknown : ObjectStatus::kOk, {}}, half, callback);
  });
}

}  // namespace covewing::emulator
