/// \file
/// The body of a message, shared by all that hold it.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace covewing::clients {

/// Immutable, so that any number of attempts send the same bytes without a copy of their own.
class SharedBody {
 public:
  SharedBody() = default;
  SharedBody(std::string text)  // NOLINT(google-explicit-constructor): a text is a body
      : text_(text.empty() ? nullptr : std::make_shared<const std::string>(std::move(text))) {}
  SharedBody(const char* text)  // NOLINT(google-explicit-constructor): a text is a body
      : SharedBody(std::string{text}) {}
  explicit SharedBody(std::shared_ptr<const std::string> text) : text_(std::move(text)) {}

  std::string_view text() const { return text_ ? std::string_view{*text_} : std::string_view{}; }
  operator std::string_view() const { return text(); }  // NOLINT(google-explicit-constructor)
  std::size_t size() const { return text().size(); }
  bool empty() const { return text().empty(); }
  /// A copy of the text.
  std::string copy() const { return std::string{text()}; }

 private:
  /// Null for an empty body.
  std::shared_ptr<const std::string> text_;
};

inline bool operator==(const SharedBody& left, std::string_view right) {
  return left.text() == right;
}

}  // namespace covewing::clients
