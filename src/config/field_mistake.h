/// \file
/// One mistake in an operator's document, with the path of the field that has it.
#pragma once

#include <string>
#include <vector>

namespace covewing::config {

struct FieldMistake {
  /// Such as "body.models[0].model"; empty for the document as a whole.
  std::string path;
  std::string problem;
  bool operator==(const FieldMistake&) const = default;
};

/// One line: "path: problem; path: problem".
std::string toText(const std::vector<FieldMistake>& mistakes);

}  // namespace covewing::config
