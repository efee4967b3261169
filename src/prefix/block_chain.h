/// \file
/// Chained block hashes of a prompt. Block i's hash covers the cache identity and blocks 0..i, so
/// that two prompts share a hash only where identity and every token before it agree. Engines use
/// the same function.
#pragma once

#include <string_view>
#include <vector>

#include "base/ids.h"
#include "clients/engine_client.h"

namespace covewing::prefix {

/// Hashes of the whole blocks of a prompt, first block first. A trailing part block has no hash.
using BlockChain = std::vector<base::BlockHash>;

/// The hash that a chain starts from: every field of the identity goes into it.
std::uint64_t identitySeed(const clients::CacheIdentity& identity);

/// Computes the chain in one pass over `canonical`, without copying it.
BlockChain blockChain(const clients::CacheIdentity& identity, std::string_view canonical);

}  // namespace covewing::prefix
