/// \file
/// Target of an operator call: path segments and query values, percent-decoded.
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
  /// Empty with the reason when the target is malformed or too long.
  static std::optional<OperatorTarget> parse(std::string_view target, base::Reason& reason);

  /// The path's segments without the leading version, such as {"templates", "market-brno"} for
  /// "/v1/templates/market-brno".
  const std::vector<std::string>& segments() const { return segments_; }
  /// Value of a query parameter, empty when it is absent.
  std::string text(std::string_view name) const;
  bool has(std::string_view name) const;
  /// Value of a numeric query parameter. Empty without a reason when it is absent; with one when it
  /// is malformed.
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
