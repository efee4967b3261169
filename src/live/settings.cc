#include "live/settings.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <charconv>
#include <map>
#include <set>

#include "live/settings_schema.h"

namespace covewing::live {

namespace {

constexpr std::string_view kCommandLine = "command line";

/// Value of a setting, with the file and line that it was read from.
struct GivenValue {
  SettingValue value;
  std::string file;
  std::uint32_t line = 0;
};

class Loader {
 public:
  explicit Loader(std::vector<SettingsMistake>& mistakes) : mistakes_(mistakes) {}

  void readFile(const SettingsSource& source) {
    file_ = source.file;
    try {
      const auto document = toml::parse(std::string_view{source.text}, source.file);
      readSections(document);
    } catch (const toml::parse_error& error) {
      report(error.source().begin.line, "", "not valid TOML: " + std::string{error.description()});
    }
  }

  void readOverride(const SettingOverride& given) {
    file_ = kCommandLine;
    const auto* entry = findSetting(given.key);
    if (entry == nullptr) {
      report(0, given.key, "unknown setting");
      return;
    }
    const auto value = fromText(*entry, given.text);
    if (value) {
      store(*entry, *value, 0);
    } else {
      reportNotAllowed(*entry, 0);
    }
  }

  std::optional<Settings> finish() {
    Settings settings;
    for (const auto& entry : settingsSchema()) apply(entry, settings);
    if (!mistakes_.empty()) return std::nullopt;
    return settings;
  }

 private:
  void readSections(const toml::table& document) {
    for (const auto& [sectionKey, node] : document) {
      const std::string section{sectionKey.str()};
      const auto line = node.source().begin.line;
      const auto* table = node.as_table();
      if (table == nullptr) {
        report(line, section, "must be a section such as [node]");
        continue;
      }
      if (!isSection(section)) {
        report(line, section, "unknown section");
        continue;
      }
      for (const auto& [key, value] : *table)
        readValue(section + "." + std::string{key.str()}, value);
    }
  }

  static bool isSection(std::string_view section) {
    for (const auto& entry : settingsSchema()) {
      if (entry.key.substr(0, entry.key.find('.')) == section) return true;
    }
    return false;
  }

  void readValue(const std::string& key, const toml::node& node) {
    const auto line = node.source().begin.line;
    const auto* entry = findSetting(key);
    if (entry == nullptr) {
      report(line, key, "unknown setting");
      return;
    }
    const auto value = fromNode(*entry, node);
    if (value) {
      store(*entry, *value, line);
    } else {
      mistyped_.insert(entry->key);
      reportNotAllowed(*entry, line);
    }
  }

  static std::optional<SettingValue> fromNode(const SettingEntry& entry, const toml::node& node) {
    switch (entry.type) {
      case SettingType::kInteger:
        if (const auto* integer = node.as_integer(); integer != nullptr) return integer->get();
        return std::nullopt;
      case SettingType::kEndpointList:
        return fromArray(node.as_array());
      default:
        if (const auto* text = node.as_string(); text != nullptr) return text->get();
        return std::nullopt;
    }
  }

  static std::optional<SettingValue> fromArray(const toml::array* array) {
    if (array == nullptr) return std::nullopt;
    std::vector<std::string> texts;
    for (const auto& element : *array) {
      const auto* text = element.as_string();
      if (text == nullptr) return std::nullopt;
      texts.push_back(text->get());
    }
    return texts;
  }

  static std::optional<SettingValue> fromText(const SettingEntry& entry, std::string_view text) {
    if (entry.type == SettingType::kInteger) {
      std::int64_t number = 0;
      const auto* end = text.data() + text.size();
      const auto [stop, error] = std::from_chars(text.data(), end, number);
      if (error != std::errc{} || stop != end) return std::nullopt;
      return number;
    }
    if (entry.type != SettingType::kEndpointList) return std::string{text};
    std::vector<std::string> texts;
    while (!text.empty()) {
      const auto comma = std::min(text.find(','), text.size());
      texts.emplace_back(text.substr(0, comma));
      text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return texts;
  }

  void store(const SettingEntry& entry, SettingValue value, std::uint32_t line) {
    mistyped_.erase(entry.key);
    given_.insert_or_assign(entry.key, GivenValue{std::move(value), file_, line});
  }

  void apply(const SettingEntry& entry, Settings& settings) {
    const auto given = given_.find(entry.key);
    if (given != given_.end()) {
      file_ = given->second.file;
      if (!entry.apply(settings, given->second.value)) reportNotAllowed(entry, given->second.line);
      return;
    }
    if (mistyped_.contains(entry.key)) return;
    if (entry.required()) {
      mistakes_.push_back({file_, 0, std::string{entry.key},
                           fmt::format("must be given: {} ({})", entry.allowed, entry.meaning)});
      return;
    }
    entry.apply(settings, fromText(entry, entry.defaultText).value());
  }

  void reportNotAllowed(const SettingEntry& entry, std::uint32_t line) {
    report(line, std::string{entry.key},
           fmt::format("must be a value of type {}, {}", toString(entry.type), entry.allowed));
  }

  void report(std::uint32_t line, std::string key, std::string problem) {
    mistakes_.push_back({file_, line, std::move(key), std::move(problem)});
  }

  std::vector<SettingsMistake>& mistakes_;
  std::string file_{kCommandLine};
  std::map<std::string_view, GivenValue> given_;
  /// Settings whose value in the file had a wrong type, which has already been reported.
  std::set<std::string_view> mistyped_;
};

}  // namespace

std::string toText(const SettingsMistake& mistake) {
  std::string text = mistake.file;
  if (mistake.line > 0) text += ':' + std::to_string(mistake.line);
  if (!mistake.key.empty()) text += ": " + mistake.key;
  return text + ": " + mistake.problem;
}

std::optional<Settings> loadSettings(const std::optional<SettingsSource>& source,
                                     const std::vector<SettingOverride>& overrides,
                                     std::vector<SettingsMistake>& mistakes) {
  Loader loader(mistakes);
  if (source) loader.readFile(*source);
  for (const auto& given : overrides) loader.readOverride(given);
  return loader.finish();
}

}  // namespace covewing::live
