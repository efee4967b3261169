/// \file
/// Identifiers of the requests that a connection to a server has carried.
///
/// All attempts of a request have the same identifier, and a response names nothing else. So a late
/// copy of the response to one attempt can only be told from the response to the next one if both
/// attempts used different connections.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace covewing::live {

class SentRequestIds {
 public:
  /// Number of requests after which a connection is not reused: 4 KB of hashes.
  static constexpr std::size_t kCapacity = 512;

  /// An empty identifier is not recorded, because no response is matched by it.
  void add(std::string_view id);
  /// Whether `id`, or with negligible probability another one, was added.
  bool contains(std::string_view id) const;
  bool full() const { return hashes_.size() >= kCapacity; }

 private:
  std::vector<std::uint64_t> hashes_;
};

}  // namespace covewing::live
