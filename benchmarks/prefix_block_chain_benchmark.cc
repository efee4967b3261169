/// \file
/// Cost of hashing a prompt's blocks and of the compact block table.
#include <benchmark/benchmark.h>

#include <string>

#include "base/random.h"
#include "prefix/block_chain.h"
#include "prefix/block_table.h"
#include "prefix/checkpoints.h"
#include "prefix/prompt.h"

namespace covewing::prefix {

namespace {

constexpr std::int64_t kLongPromptTokens = 100'000;
constexpr std::int64_t kEngineBlocks = 145'000;

std::string makePrompt(std::int64_t tokens) {
  base::SeededRandom random(1);
  std::string prompt;
  for (std::int64_t token = 0; token < tokens; ++token) {
    prompt += "word"[random.below(kBytesPerToken)];
    prompt += "abc";
  }
  return prompt;
}

void hashPrompt(benchmark::State& state) {
  const std::string prompt = makePrompt(state.range(0));
  const clients::CacheIdentity identity{1, "rules", "", 1};
  for (auto _ : state) benchmark::DoNotOptimize(blockChain(identity, prompt));
  state.SetBytesProcessed(state.iterations() * static_cast<std::int64_t>(prompt.size()));
}
BENCHMARK(hashPrompt)->Arg(1'000)->Arg(10'000)->Arg(kLongPromptTokens);

void takeCheckpoints(benchmark::State& state) {
  const BlockChain chain = blockChain({1, "rules", "", 1}, makePrompt(kLongPromptTokens));
  for (auto _ : state) benchmark::DoNotOptimize(checkpointsOf(chain));
}
BENCHMARK(takeCheckpoints);

BlockTable makeTable(std::int64_t entries) {
  base::SeededRandom random(2);
  BlockTable table;
  for (std::int64_t count = 0; count < entries; ++count) {
    table.insert(fingerprintOf(base::BlockHash{random.next()}), 1);
  }
  return table;
}

void insertBlocks(benchmark::State& state) {
  for (auto _ : state) {
    const BlockTable table = makeTable(state.range(0));
    benchmark::DoNotOptimize(&table);
    state.counters["bytes_per_entry"] =
        static_cast<double>(table.memoryBytes()) / static_cast<double>(table.size());
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(insertBlocks)->Arg(8'192)->Arg(kEngineBlocks)->Arg(547'000);

void findBlocks(benchmark::State& state) {
  const BlockTable table = makeTable(state.range(0));
  base::SeededRandom random(state.range(1) == 1 ? 2 : 3);
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.find(fingerprintOf(base::BlockHash{random.next()})));
  }
}
BENCHMARK(findBlocks)->Args({kEngineBlocks, 1})->Args({kEngineBlocks, 0});

}  // namespace

}  // namespace covewing::prefix
