#include "live/memory_account.h"

#include <algorithm>
#include <utility>

namespace covewing::live {

namespace {

/// Bytes times age. A message that has just begun counts as of one microsecond, so that among those
/// of one moment the largest goes first.
double holdingOf(const IncomingMessage& message, base::TimePoint now) {
  const auto age = std::max<std::int64_t>((now - message.heldSince()).count(), 1);
  return static_cast<double>(message.heldBytes()) * static_cast<double>(age);
}

}  // namespace

std::string_view toString(MemoryClass kind) {
  switch (kind) {
    case MemoryClass::kRequests:
      return "requests";
    case MemoryClass::kBodies:
      return "bodies";
    case MemoryClass::kResponses:
      return "responses";
    case MemoryClass::kPeers:
      return "peers";
  }
  return "requests";
}

bool MemoryAccount::couldReceive(MemoryClass kind, std::size_t bytes) const {
  std::size_t droppable = 0;
  std::size_t droppableOfClass = 0;
  for (const auto* message : incoming_) {
    droppable += message->heldBytes();
    if (message->memoryClass() == kind) droppableOfClass += message->heldBytes();
  }
  const auto fixed = total_ - std::min(droppable, total_);
  const auto fixedOfClass = held(kind) - std::min(droppableOfClass, held(kind));
  return fixed + bytes <= bounds_.total && fixedOfClass + bytes <= bounds_.share(kind);
}

void MemoryAccount::onFreed(std::size_t bytes, std::function<void()> listener) {
  freedStep_ = bytes;
  freedListener_ = std::move(listener);
}

void MemoryAccount::makeRoom(MemoryClass kind, base::TimePoint now) {
  while (exceeded(kind)) {
    auto* message = chooseForRoom(kind, now);
    if (message == nullptr) return;
    ++refused_;
    // Removed first, so that each is told once, whatever it does.
    incoming_.erase(message);
    message->dropForMemory();
  }
}

IncomingMessage* MemoryAccount::chooseForRoom(MemoryClass kind, base::TimePoint now) const {
  // Where all together are above the bound, room in any class helps.
  const bool anyClass = total_ > bounds_.total;
  IncomingMessage* chosen = nullptr;
  double most = 0;
  for (auto* message : incoming_) {
    if (!anyClass && message->memoryClass() != kind) continue;
    const auto holding = holdingOf(*message, now);
    if (holding <= most) continue;
    chosen = message;
    most = holding;
  }
  return chosen;
}

void MemoryAccount::replace(Entry former, Entry next) {
  held_.at(static_cast<std::size_t>(former.kind)) -= former.bytes;
  held_.at(static_cast<std::size_t>(next.kind)) += next.bytes;
  total_ = total_ - former.bytes + next.bytes;
  peak_ = std::max(peak_, total_);
  if (!freedListener_ || peak_ - total_ < freedStep_) return;
  peak_ = total_;
  freedListener_();
}

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : account_(std::move(other.account_)),
      kind_(other.kind_),
      bytes_(std::exchange(other.bytes_, 0)) {}

void MemoryCharge::resize(MemoryClass kind, std::size_t bytes) {
  if (!account_) return;
  if (kind == kind_ && bytes == bytes_) return;
  account_->replace({kind_, bytes_}, {kind, bytes});
  kind_ = kind;
  bytes_ = bytes;
}

}  // namespace covewing::live
