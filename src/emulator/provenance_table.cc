#include "emulator/provenance_table.h"

#include "prefix/block_chain.h"

namespace covewing::emulator {

std::uint32_t ProvenanceTable::indexOf(const BlockProvenance& provenance) {
  std::uint64_t hash = prefix::identitySeed(provenance.identity);
  hash = base::mixHash(hash, provenance.engine.value);
  hash = base::mixHash(hash, provenance.incarnation);
  hash = base::mixHash(hash, provenance.imported ? 1 : 0);
  const auto [entry, isNew] = indexByHash_.try_emplace(hash, size());
  if (isNew) provenances_.push_back(provenance);
  return entry->second;
}

void ProvenanceTable::clear() {
  provenances_.clear();
  indexByHash_.clear();
}

}  // namespace covewing::emulator
