/// \file
/// Target of an operator call: percent-decoded path segments and query parameters.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result_code.h"

namespace covewing::node {

class OperatorTarget {
 public:
  /// Empty, with `reason` set, if the target is malformed or too long.
  static std::optional<OperatorTarget> parse(std::string_view target, base::Reason& reason);

  /// Segments of the path without the leading version, such as {"templates", "market-brno"} for
  /// "/v1/templates/market-brno".
  const std::vector<std::string>& segments() const { return segments_; }
  /// Value of a query parameter; empty if the parameter is absent.
  std::string text(std::string_view name) const;
  bool has(std::string_view name) const;
  /// Value of a numeric query parameter. Empty if the parameter is absent or malformed; `reason` is
  /// set only if it is malformed.
  std::optional<std::uint64_t> number(std::string_view name, base::Reason& reason) const;

 private:
  struct Parameter {
    std::string name;
    std::string value;
  };

  std::vector<std::string> segments_;
  std::vector<Parameter> parameters_;
};

}  // namespace covewing::node
