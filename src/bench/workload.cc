#include "bench/workload.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/ids.h"
#include "config/bearer_key.h"

namespace covewing::bench {

PromptSegment promptText(std::uint64_t seed, std::uint32_t tokens) {
  constexpr std::string_view kLetters =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
  constexpr std::uint64_t kLetterMask = 63;
  constexpr unsigned kLetterBits = 6;
  auto text = std::make_shared<std::string>();
  text->reserve(static_cast<std::size_t>(tokens) * prefix::kBytesPerToken);
  std::uint64_t state = seed;
  for (std::uint32_t token = 0; token < tokens; ++token) {
    state = base::mixHash(state, token);
    std::uint64_t bits = state;
    for (std::size_t letter = 0; letter + 1 < prefix::kBytesPerToken; ++letter) {
      text->push_back(kLetters[bits & kLetterMask]);
      bits >>= kLetterBits;
    }
    text->push_back(' ');
  }
  return text;
}

std::uint32_t Arrival::promptTokens() const {
  std::size_t bytes = 0;
  for (const PromptSegment& segment : prompt) bytes += segment->size();
  return static_cast<std::uint32_t>(bytes / prefix::kBytesPerToken);
}

std::string tenantDocument(const TenantDocument& fields) {
  using Json = nlohmann::ordered_json;
  const auto milliseconds = [](base::Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  };
  Json applications = Json::array();
  for (const std::string& path : fields.paths) {
    applications.push_back({{"path", path},
                            {"application", fields.application},
                            {"not_repeatable_methods", Json::array({"POST"})}});
  }
  const Json body = {{"models", Json::array({{{"model", fields.model}}})},
                     {"priority", std::string(base::toString(fields.priority))},
                     {"limits",
                      {{"requests_per_second", fields.requestsPerSecond},
                       {"burst", fields.burst},
                       {"concurrency", fields.concurrency},
                       {"max_output_tokens", 1024}}},
                     {"deadline_ms", milliseconds(fields.deadline)},
                     {"hold_ms", milliseconds(fields.holdTime)},
                     {"applications", applications}};
  const Json document = {{"key_digests", Json::array({config::digestBearerKey(fields.bearerKey)})},
                         {"body", body}};
  return document.dump();
}

void sortArrivals(std::vector<Arrival>& arrivals) {
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival& left, const Arrival& right) { return left.at < right.at; });
}

}  // namespace covewing::bench
