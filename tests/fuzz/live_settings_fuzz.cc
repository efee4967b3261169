// Any settings file either gives settings or at least one mistake, each with a text.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "live/settings.h"

namespace covewing::live {

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  std::vector<SettingsMistake> mistakes;
  const auto settings = loadSettings(SettingsSource{"node.toml", text}, {}, mistakes);
  if (settings.has_value() != mistakes.empty()) std::abort();
  for (const auto& mistake : mistakes) {
    if (mistake.problem.empty()) std::abort();
  }
  return 0;
}

}  // namespace covewing::live
