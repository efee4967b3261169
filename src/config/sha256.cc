#include "config/sha256.h"

#include <array>
#include <bit>
#include <cstdint>

namespace covewing::config {

namespace {

constexpr std::size_t kBlockBytes = 64;
constexpr std::size_t kLengthBytes = 8;
constexpr std::size_t kRounds = 64;
constexpr std::size_t kStateWords = 8;
constexpr unsigned char kPaddingMark = 0x80;

/// Round constants of FIPS 180-4, section 4.2.2.
constexpr std::array<std::uint32_t, kRounds> kRoundConstants = {
    0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1, 0x923f82a4, 0xab1c5ed5,
    0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe, 0x9bdc06a7, 0xc19bf174,
    0xe49b69c1, 0xefbe4786, 0x0fc19dc6, 0x240ca1cc, 0x2de92c6f, 0x4a7484aa, 0x5cb0a9dc, 0x76f988da,
    0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7, 0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967,
    0x27b70a85, 0x2e1b2138, 0x4d2c6dfc, 0x53380d13, 0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85,
    0xa2bfe8a1, 0xa81a664b, 0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070,
    0x19a4c116, 0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a, 0x5b9cca4f, 0x682e6ff3,
    0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208, 0x90befffa, 0xa4506ceb, 0xbef9a3f7, 0xc67178f2};

/// Initial state of FIPS 180-4, section 5.3.3.
constexpr std::array<std::uint32_t, kStateWords> kInitialState = {
    0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a, 0x510e527f, 0x9b05688c, 0x1f83d9ab, 0x5be0cd19};

using State = std::array<std::uint32_t, kStateWords>;
using Schedule = std::array<std::uint32_t, kRounds>;

std::uint32_t bigEndianWord(const unsigned char* bytes) {
  return static_cast<std::uint32_t>(bytes[0]) << 24U | static_cast<std::uint32_t>(bytes[1]) << 16U |
         static_cast<std::uint32_t>(bytes[2]) << 8U | static_cast<std::uint32_t>(bytes[3]);
}

Schedule scheduleOf(const unsigned char* block) {
  Schedule words{};
  for (std::size_t index = 0; index < 16; ++index) {
    words.at(index) = bigEndianWord(block + index * 4);
  }
  for (std::size_t index = 16; index < kRounds; ++index) {
    const std::uint32_t early = words.at(index - 15);
    const std::uint32_t late = words.at(index - 2);
    const std::uint32_t earlyMix = std::rotr(early, 7) ^ std::rotr(early, 18) ^ (early >> 3U);
    const std::uint32_t lateMix = std::rotr(late, 17) ^ std::rotr(late, 19) ^ (late >> 10U);
    words.at(index) = words.at(index - 16) + earlyMix + words.at(index - 7) + lateMix;
  }
  return words;
}

void compress(State& state, const unsigned char* block) {
  const Schedule words = scheduleOf(block);
  auto [a, b, c, d, e, f, g, h] = state;
  for (std::size_t round = 0; round < kRounds; ++round) {
    const std::uint32_t mixE = std::rotr(e, 6) ^ std::rotr(e, 11) ^ std::rotr(e, 25);
    const std::uint32_t choice = (e & f) ^ (~e & g);
    const std::uint32_t first = h + mixE + choice + kRoundConstants.at(round) + words.at(round);
    const std::uint32_t mixA = std::rotr(a, 2) ^ std::rotr(a, 13) ^ std::rotr(a, 22);
    const std::uint32_t majority = (a & b) ^ (a & c) ^ (b & c);
    h = g;
    g = f;
    f = e;
    e = d + first;
    d = c;
    c = b;
    b = a;
    a = first + mixA + majority;
  }
  const State added = {a, b, c, d, e, f, g, h};
  for (std::size_t index = 0; index < kStateWords; ++index) state.at(index) += added.at(index);
}

/// The message's tail with padding and bit length: one or two blocks.
std::string paddedTail(std::string_view message) {
  std::string tail(message.substr(message.size() / kBlockBytes * kBlockBytes));
  tail.push_back(static_cast<char>(kPaddingMark));
  while (tail.size() % kBlockBytes != kBlockBytes - kLengthBytes) tail.push_back('\0');
  const std::uint64_t bits = static_cast<std::uint64_t>(message.size()) * 8;
  for (int shift = 56; shift >= 0; shift -= 8) {
    tail.push_back(static_cast<char>(bits >> static_cast<unsigned>(shift) & 0xffU));
  }
  return tail;
}

void compressAll(State& state, std::string_view blocks) {
  for (std::size_t offset = 0; offset + kBlockBytes <= blocks.size(); offset += kBlockBytes) {
    compress(state, reinterpret_cast<const unsigned char*>(blocks.data()) + offset);
  }
}

}  // namespace

std::string sha256(std::string_view message) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  State state = kInitialState;
  compressAll(state, message);
  compressAll(state, paddedTail(message));
  std::string digest;
  digest.reserve(kSha256Length);
  for (const std::uint32_t word : state) {
    for (int shift = 28; shift >= 0; shift -= 4) {
      digest.push_back(kDigits.at(word >> static_cast<unsigned>(shift) & 0xfU));
    }
  }
  return digest;
}

}  // namespace covewing::config
