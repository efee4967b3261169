/// \file
/// Account of the memory that a node holds for others: requests that are received or served, and
/// responses that wait to be read.
///
/// The whole is bounded, and so is the share of each class but that of ordinary requests, which may
/// use all that is free. Where a bound is passed, messages that are still being received are
/// dropped, the one first that has held most for longest (bytes times age): ordinary requests
/// arrive within milliseconds, so those of peers that send without end or do not go on are dropped
/// before them. What was passed on is never dropped. There is no network in here; who holds memory
/// enters it and is told to drop it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_set>

#include "base/time.h"

namespace covewing::live {

/// What memory is held for.
enum class MemoryClass : std::uint8_t {
  /// Ordinary requests of callers: heads, and bodies up to kOrdinaryRequestBytes.
  kRequests,
  /// Larger bodies of callers.
  kBodies,
  /// Responses that callers have not read.
  kResponses,
  /// Requests and messages of other nodes, and what any other listener receives.
  kPeers,
};
inline constexpr std::size_t kMemoryClasses = 4;
std::string_view toString(MemoryClass kind);

/// Maximum size of a request with its body that counts as an ordinary one.
inline constexpr std::size_t kOrdinaryRequestBytes = 128U << 10U;

/// Bounds in bytes.
struct MemoryBounds {
  std::size_t total = 0;
  /// Maximum share of each class.
  std::array<std::size_t, kMemoryClasses> shares{};

  std::size_t share(MemoryClass kind) const { return shares.at(static_cast<std::size_t>(kind)); }
};

/// A message that is being received and may be dropped.
class IncomingMessage {
 public:
  virtual ~IncomingMessage() = default;
  virtual MemoryClass memoryClass() const = 0;
  virtual std::size_t heldBytes() const = 0;
  /// When its first byte arrived.
  virtual base::TimePoint heldSince() const = 0;
  /// Ends its reception and gives its memory back, or stops entering it as incoming.
  virtual void dropForMemory() = 0;
};

class MemoryAccount {
 public:
  explicit MemoryAccount(const MemoryBounds& bounds) : bounds_(bounds) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  const MemoryBounds& bounds() const { return bounds_; }
  std::size_t held() const { return total_; }
  const std::array<std::size_t, kMemoryClasses>& heldByClass() const { return held_; }
  std::size_t held(MemoryClass kind) const { return held_.at(static_cast<std::size_t>(kind)); }
  /// Number of messages that were dropped or refused for want of memory, since the start.
  std::uint64_t refused() const { return refused_; }
  /// Whether the class is above its share, or all together above the bound.
  bool exceeded(MemoryClass kind) const {
    return total_ > bounds_.total || held(kind) > bounds_.share(kind);
  }
  /// Whether a message of `bytes` could be received: what cannot be dropped leaves room for it.
  bool couldReceive(MemoryClass kind, std::size_t bytes) const;
  void countRefusal() { ++refused_; }

  /// Sets the listener that is called whenever `bytes` less are held than at most since its last
  /// call. What was let go may be freed only after the call.
  void onFreed(std::size_t bytes, std::function<void()> listener);

  /// From now on the message may be dropped; it must be removed before it is destroyed.
  void addIncoming(IncomingMessage& message) { incoming_.insert(&message); }
  void removeIncoming(IncomingMessage& message) { incoming_.erase(&message); }
  /// Drops messages until the class keeps to its bounds, as far as there are any to drop.
  void makeRoom(MemoryClass kind, base::TimePoint now);

  struct Entry {
    MemoryClass kind = MemoryClass::kRequests;
    std::size_t bytes = 0;
  };
  // Called by MemoryCharge.
  void replace(Entry former, Entry next);

 private:
  IncomingMessage* chooseForRoom(MemoryClass kind, base::TimePoint now) const;

  MemoryBounds bounds_;
  std::array<std::size_t, kMemoryClasses> held_{};
  std::size_t total_ = 0;
  std::uint64_t refused_ = 0;
  /// Most bytes held since the last call of the listener.
  std::size_t peak_ = 0;
  std::size_t freedStep_ = 0;
  std::function<void()> freedListener_;
  std::unordered_set<IncomingMessage*> incoming_;
};

using MemoryAccountPtr = std::shared_ptr<MemoryAccount>;

/// Bytes that one holder has entered in an account; they are taken off when it is destroyed.
class MemoryCharge {
 public:
  explicit MemoryCharge(MemoryAccountPtr account, MemoryClass kind = MemoryClass::kRequests)
      : account_(std::move(account)), kind_(kind) {}
  ~MemoryCharge() { resize(kind_, 0); }
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&&) = delete;
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  /// Replaces what is entered.
  void resize(MemoryClass kind, std::size_t bytes);
  MemoryClass memoryClass() const { return kind_; }
  std::size_t bytes() const { return bytes_; }

 private:
  MemoryAccountPtr account_;
  MemoryClass kind_;
  std::size_t bytes_ = 0;
};

}  // namespace covewing::live
