#include "prefix/block_chain.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "prefix/prompt.h"

namespace covewing::prefix {

std::uint64_t identitySeed(const clients::CacheIdentity& identity) {
  const std::uint64_t model = base::mixHash(identity.tenantSalt, base::hashName(identity.model));
  const std::uint64_t adapter = base::mixHash(model, base::hashName(identity.adapter));
  return base::mixHash(adapter, identity.weightsVersion);
}

BlockChain blockChain(const clients::CacheIdentity& identity, std::string_view canonical) {
  BlockChain chain;
  chain.reserve(canonical.size() / kBytesPerBlock);
  std::uint64_t parent = identitySeed(identity);
  for (; canonical.size() >= kBytesPerBlock; canonical.remove_prefix(kBytesPerBlock)) {
    parent = XXH3_64bits_withSeed(canonical.data(), kBytesPerBlock, parent);
    chain.push_back(base::BlockHash{parent});
  }
  return chain;
}

}  // namespace covewing::prefix
