/// \file
/// Updates still to be passed on, each a bounded number of times, the least often sent first.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/packed_bytes.h"

namespace covewing::membership {

/// `Key` names the subject of an update; its content is encoded when it is sent, so that it is
/// always the latest.
template <class Key>
class BroadcastQueue {
 public:
  bool empty() const { return order_.empty(); }
  std::size_t size() const { return order_.size(); }

  /// Queues an update about `key`, from the first transmission on.
  void add(const Key& key) {
    erase(key);
    insert(key, Position{0, ++added_});
  }

  void erase(const Key& key) {
    const auto found = positions_.find(key);
    if (found == positions_.end()) return;
    order_.erase({found->second, key});
    positions_.erase(found);
  }

  /// Appends entries by `encode(key, writer)` until `writer` holds `maximumBytes`. Each counts as
  /// sent once; after `transmissions` it is dropped.
  template <class Encode>
  void take(PackedWriter& writer, std::size_t maximumBytes, std::uint32_t transmissions,
            const Encode& encode) {
    std::vector<Ordered> sent;
    for (const Ordered& ordered : order_) {
      PackedWriter entry;
      encode(ordered.key, entry);
      if (writer.size() + entry.size() > maximumBytes) break;
      append(writer, entry);
      sent.push_back(ordered);
    }
    for (Ordered& ordered : sent) {
      erase(ordered.key);
      ++ordered.position.transmissions;
      if (ordered.position.transmissions < transmissions) insert(ordered.key, ordered.position);
    }
  }

 private:
  struct Position {
    std::uint32_t transmissions = 0;
    std::uint64_t added = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
    auto operator<=>(const Position&) const = default;
  };
  struct Ordered {
    Position position;
    Key key;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
    auto operator<=>(const Ordered&) const = default;
  };

  static void append(PackedWriter& writer, const PackedWriter& entry) {
    for (const char byte : entry.bytes()) writer.byte(static_cast<std::uint8_t>(byte));
  }

  void insert(const Key& key, Position position) {
    positions_.insert_or_assign(key, position);
    order_.insert({position, key});
  }

  std::set<Ordered> order_;
  std::map<Key, Position> positions_;
  std::uint64_t added_ = 0;
};

}  // namespace covewing::membership
