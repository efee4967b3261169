#include "config/json_fields.h"

#include <algorithm>

namespace covewing::config {

namespace {

/// Deepest nesting of arrays and objects in the text, counted without parsing it.
std::size_t nestingDepth(std::string_view text) {
  std::size_t depth = 0;
  std::size_t deepest = 0;
  bool quoted = false;
  bool escaped = false;
  for (const char character : text) {
    if (quoted) {
      if (escaped) {
        escaped = false;
      } else if (character == '\\') {
        escaped = true;
      } else if (character == '"') {
        quoted = false;
      }
      continue;
    }
    if (character == '"') quoted = true;
    if (character == '{' || character == '[') deepest = std::max(deepest, ++depth);
    if ((character == '}' || character == ']') && depth > 0) --depth;
  }
  return deepest;
}

/// Finds fields that one object has twice, which the parser would silently reduce to the last.
class RepeatedFields {
 public:
  bool see(Json::parse_event_t event, const Json& parsed) {
    if (event == Json::parse_event_t::object_start) open_.emplace_back();
    if (event == Json::parse_event_t::object_end) open_.pop_back();
    if (event == Json::parse_event_t::key) {
      const auto& name = parsed.get_ref<const std::string&>();
      if (!open_.back().insert(name).second) names_.push_back(name);
    }
    return true;
  }
  const std::vector<std::string>& names() const { return names_; }

 private:
  std::vector<std::set<std::string>> open_;
  std::vector<std::string> names_;
};

std::string joined(std::initializer_list<std::string_view> names) {
  std::string text;
  for (const std::string_view name : names) {
    if (!text.empty()) text += ", ";
    text += name;
  }
  return text;
}

template <class Number>
std::string rangeText(Number minimum, Number maximum) {
  return Json(minimum).dump() + " to " + Json(maximum).dump();
}

}  // namespace

std::string toText(const std::vector<FieldMistake>& mistakes) {
  std::string text;
  for (const FieldMistake& mistake : mistakes) {
    if (!text.empty()) text += "; ";
    if (!mistake.path.empty()) text += mistake.path + ": ";
    text += mistake.problem;
  }
  return text;
}

std::string toText(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Json> parseBoundedJson(std::string_view text, JsonBounds bounds,
                                     std::vector<FieldMistake>& mistakes) {
  if (text.size() > bounds.maximumBytes) {
    mistakes.push_back({"", "longer than " + std::to_string(bounds.maximumBytes) + " bytes"});
    return std::nullopt;
  }
  if (nestingDepth(text) > bounds.maximumDepth) {
    mistakes.push_back({"", "nested deeper than " + std::to_string(bounds.maximumDepth)});
    return std::nullopt;
  }
  RepeatedFields repeated;
  Json value = Json::parse(
      text,
      [&](int, Json::parse_event_t event, Json& parsed) { return repeated.see(event, parsed); },
      false);
  if (value.is_discarded()) {
    mistakes.push_back({"", "not valid JSON in UTF-8"});
    return std::nullopt;
  }
  for (const std::string& name : repeated.names())
    mistakes.push_back({"", "field \"" + name + "\" is given twice in one object"});
  if (!repeated.names().empty()) return std::nullopt;
  return value;
}

FieldReader::FieldReader(const Json& object, std::string path, std::vector<FieldMistake>& mistakes)
    : object_(object), path_(std::move(path)), mistakes_(mistakes) {
  if (!object_.is_object()) mistakes_.push_back({path_, "must be an object"});
}

std::string FieldReader::pathOf(std::string_view name) const {
  return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

void FieldReader::mistake(std::string_view name, std::string problem) {
  mistakes_.push_back({pathOf(name), std::move(problem)});
}

const Json* FieldReader::find(std::string_view name) {
  known_.emplace(name);
  if (!object_.is_object()) return nullptr;
  const auto field = object_.find(std::string(name));
  return field == object_.end() ? nullptr : &*field;
}

std::string FieldReader::text(std::string_view name, std::string fallback,
                              std::size_t maximumLength) {
  const Json* value = find(name);
  if (value == nullptr) return fallback;
  if (!value->is_string()) {
    mistake(name, "must be a text");
    return fallback;
  }
  const auto& content = value->get_ref<const std::string&>();
  if (content.size() > maximumLength) {
    mistake(name, "longer than " + std::to_string(maximumLength) + " bytes");
    return fallback;
  }
  return content;
}

std::uint64_t FieldReader::unsignedInteger(std::string_view name, std::uint64_t fallback,
                                           std::uint64_t minimum, std::uint64_t maximum) {
  const Json* value = find(name);
  if (value == nullptr) return fallback;
  // A placeholder's value is a signed integer, a parsed one unsigned.
  const bool whole = value->is_number_unsigned() ||
                     (value->is_number_integer() && value->get<std::int64_t>() >= 0);
  const std::uint64_t number = whole ? value->get<std::uint64_t>() : 0;
  if (whole && number >= minimum && number <= maximum) return number;
  mistake(name, "must be a whole number from " + rangeText(minimum, maximum));
  return fallback;
}

double FieldReader::number(std::string_view name, double fallback, double minimum, double maximum) {
  const Json* value = find(name);
  if (value == nullptr) return fallback;
  const bool fits =
      value->is_number() && value->get<double>() >= minimum && value->get<double>() <= maximum;
  if (fits) return value->get<double>();
  mistake(name, "must be a number from " + rangeText(minimum, maximum));
  return fallback;
}

bool FieldReader::boolean(std::string_view name, bool fallback) {
  const Json* value = find(name);
  if (value == nullptr) return fallback;
  if (value->is_boolean()) return value->get<bool>();
  mistake(name, "must be true or false");
  return fallback;
}

std::size_t FieldReader::choice(std::string_view name, std::size_t fallback,
                                std::initializer_list<std::string_view> allowed) {
  const Json* value = find(name);
  if (value == nullptr) return fallback;
  if (value->is_string()) {
    const auto* found =
        std::find(allowed.begin(), allowed.end(), value->get_ref<const std::string&>());
    if (found != allowed.end()) return static_cast<std::size_t>(found - allowed.begin());
  }
  mistake(name, "must be one of " + joined(allowed));
  return fallback;
}

std::vector<const Json*> FieldReader::elements(std::string_view name, std::size_t maximumCount) {
  const Json* value = find(name);
  if (value == nullptr) return {};
  if (!value->is_array() || value->size() > maximumCount) {
    mistake(name, "must be a list of at most " + std::to_string(maximumCount) + " elements");
    return {};
  }
  std::vector<const Json*> found;
  for (const Json& element : *value) found.push_back(&element);
  return found;
}

std::vector<std::string> FieldReader::texts(std::string_view name, std::size_t maximumCount,
                                            std::size_t maximumLength) {
  std::vector<std::string> found;
  for (const Json* element : elements(name, maximumCount)) {
    const bool fits = element->is_string() && !element->get_ref<const std::string&>().empty() &&
                      element->get_ref<const std::string&>().size() <= maximumLength;
    if (!fits) {
      mistake(std::string(name) + "[" + std::to_string(found.size()) + "]",
              "must be a text of 1 to " + std::to_string(maximumLength) + " bytes");
      return {};
    }
    found.push_back(element->get<std::string>());
  }
  return found;
}

void FieldReader::finish() {
  if (!object_.is_object()) return;
  for (const auto& field : object_.items()) {
    if (!known_.contains(field.key())) mistakes_.push_back({pathOf(field.key()), "unknown field"});
  }
}

}  // namespace covewing::config
