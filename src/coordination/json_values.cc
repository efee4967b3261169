#include "coordination/json_values.h"

namespace covewing::coordination {

std::string textOf(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string textField(const Json& object, std::string_view name) {
  const auto field = object.find(name);
  if (field == object.end() || !field->is_string()) return {};
  return field->get<std::string>();
}

std::uint64_t numberField(const Json& object, std::string_view name) {
  const auto field = object.find(name);
  if (field == object.end() || !field->is_number_unsigned()) return 0;
  return field->get<std::uint64_t>();
}

bool booleanField(const Json& object, std::string_view name) {
  const auto field = object.find(name);
  return field != object.end() && field->is_boolean() && field->get<bool>();
}

std::vector<std::string> textsField(const Json& object, std::string_view name) {
  std::vector<std::string> texts;
  const auto field = object.find(name);
  if (field == object.end() || !field->is_array()) return texts;
  for (const Json& element : *field) {
    if (element.is_string()) texts.push_back(element.get<std::string>());
  }
  return texts;
}

}  // namespace covewing::coordination
