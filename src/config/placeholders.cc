#include "config/placeholders.h"

#include <algorithm>

#include "config/template_parameters.h"

namespace covewing::config {

namespace {

/// Replaces the placeholders in a body.
class Substitution {
 public:
  Substitution(const std::vector<NamedValue>& values, std::vector<FieldMistake>& mistakes)
      : values_(values), mistakes_(mistakes) {}

  Json apply(const Json& json, const std::string& path) {
    if (json.is_string()) return applyText(json.get_ref<const std::string&>(), path);
    if (json.is_array()) {
      Json result = Json::array();
      for (const Json& element : json)
        result.push_back(apply(element, path + "[" + std::to_string(result.size()) + "]"));
      return result;
    }
    if (json.is_object()) {
      Json result = Json::object();
      for (const auto& field : json.items())
        result[field.key()] = apply(field.value(), path + "." + field.key());
      return result;
    }
    return json;
  }

 private:
  static constexpr std::string_view kOpen = "${";

  const ParameterValue* find(std::string_view name) const {
    const auto found = std::find_if(values_.begin(), values_.end(),
                                    [&](const NamedValue& value) { return value.name == name; });
    return found == values_.end() ? nullptr : &found->value;
  }

  /// A text that is one placeholder takes the parameter's type; else the value is inserted as text.
  Json applyText(const std::string& text, const std::string& path) {
    std::string result;
    std::size_t position = 0;
    while (position < text.size()) {
      const std::size_t open = text.find(kOpen, position);
      if (open == std::string::npos) break;
      const std::size_t close = text.find('}', open);
      if (close == std::string::npos) {
        mistakes_.push_back({path, "placeholder without a closing brace"});
        return text;
      }
      const std::string name = text.substr(open + kOpen.size(), close - open - kOpen.size());
      const ParameterValue* value = find(name);
      if (value == nullptr) {
        mistakes_.push_back({path, "no parameter is named \"" + name + "\""});
        return text;
      }
      if (open == 0 && close + 1 == text.size()) return jsonOf(*value);
      result.append(text, position, open - position);
      const auto* inserted = std::get_if<std::string>(value);
      result += inserted == nullptr ? toText(jsonOf(*value)) : *inserted;
      position = close + 1;
    }
    return result + text.substr(position);
  }

  const std::vector<NamedValue>& values_;
  std::vector<FieldMistake>& mistakes_;
};

}  // namespace

Json fillPlaceholders(const Json& body, const std::vector<NamedValue>& values,
                      std::vector<FieldMistake>& mistakes) {
  return Substitution(values, mistakes).apply(body, "body");
}

}  // namespace covewing::config
