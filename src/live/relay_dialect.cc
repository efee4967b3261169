#include "live/relay_dialect.h"

#include <algorithm>
#include <array>

namespace covewing::live {

namespace {

constexpr std::array<std::string_view, 10> kConnectionHeaders = {"Connection",
                                                                 "Keep-Alive",
                                                                 "Proxy-Connection",
                                                                 "Proxy-Authenticate",
                                                                 "Proxy-Authorization",
                                                                 "TE",
                                                                 "Trailer",
                                                                 "Transfer-Encoding",
                                                                 "Upgrade",
                                                                 "Content-Length"};

std::string_view trimmed(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Whether the comma-separated list contains the header name.
bool listContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const auto comma = list.find(',');
    if (equalHeaderNames(trimmed(list.substr(0, comma)), name)) return true;
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
  }
  return false;
}

}  // namespace

std::vector<HeaderField> withoutConnectionHeaders(const std::vector<HeaderField>& headers) {
  const std::string_view connectionOptions = findHeader(headers, "Connection");
  std::vector<HeaderField> kept;
  kept.reserve(headers.size());
  std::ranges::copy_if(headers, std::back_inserter(kept), [&](const HeaderField& field) {
    const bool standard = std::ranges::any_of(kConnectionHeaders, [&](std::string_view name) {
      return equalHeaderNames(name, field.name);
    });
    return !standard && !listContains(connectionOptions, field.name);
  });
  return kept;
}

}  // namespace covewing::live
