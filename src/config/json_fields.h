/// \file
/// Bounded JSON parsing and typed reading of object fields that collects every mistake with its
/// path. For source files only: headers do not include it, so that few files see the JSON library.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/field_mistake.h"

namespace covewing::config {

using Json = nlohmann::json;

/// Bounds of a JSON text from outside.
struct JsonBounds {
  std::size_t maximumBytes = 0;
  std::size_t maximumDepth = 0;
};

/// Parses without throwing; appends a mistake and is empty when the text is malformed or exceeds a
/// bound.
std::optional<Json> parseBoundedJson(std::string_view text, JsonBounds bounds,
                                     std::vector<FieldMistake>& mistakes);

/// Text of any JSON value, for people; never throws on malformed UTF-8.
std::string toText(const Json& value);

/// Reads the fields of one object. A mistake is appended and the fallback returned for a field of
/// the wrong type or range; `finish` reports the fields that nobody asked for.
class FieldReader {
 public:
  /// `object` may be of any type: other types than an object are reported as a mistake.
  FieldReader(const Json& object, std::string path, std::vector<FieldMistake>& mistakes);

  /// The field's value, null when it is absent.
  const Json* find(std::string_view name);
  std::string text(std::string_view name, std::string fallback, std::size_t maximumLength);
  std::uint64_t unsignedInteger(std::string_view name, std::uint64_t fallback,
                                std::uint64_t minimum, std::uint64_t maximum);
  double number(std::string_view name, double fallback, double minimum, double maximum);
  bool boolean(std::string_view name, bool fallback);
  /// Index of the field's text in `allowed`.
  std::size_t choice(std::string_view name, std::size_t fallback,
                     std::initializer_list<std::string_view> allowed);
  /// The field's elements; empty when it is absent.
  std::vector<const Json*> elements(std::string_view name, std::size_t maximumCount);
  std::vector<std::string> texts(std::string_view name, std::size_t maximumCount,
                                 std::size_t maximumLength);
  /// Appends a mistake about a field of this object.
  void mistake(std::string_view name, std::string problem);
  std::string pathOf(std::string_view name) const;
  void finish();

 private:
  const Json& object_;
  std::string path_;
  std::vector<FieldMistake>& mistakes_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace covewing::config
