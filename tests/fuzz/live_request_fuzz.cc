// Whatever a caller, an engine or a platform service sends as a body is parsed or refused with a
// reason.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "live/completion_body.h"
#include "live/engine_json.h"
#include "live/platform_json.h"
#include "live/sse_parser.h"

namespace covewing::live {

namespace {

/// A refusal without a code or a field named would leave the caller in the dark.
void parseAs(CompletionKind kind, std::string_view text) {
  base::Reason reason;
  const auto body = parseCompletionBody(kind, text, reason);
  if (!body && (reason.code == base::ResultCode::kOk || reason.detail.empty())) std::abort();
  if (body && (body->model.empty() || body->prompt == nullptr)) std::abort();
}

/// Events are the same, however the stream is cut into pieces.
void parseStream(std::string_view text) {
  SseParser whole;
  whole.feed(text);
  SseParser pieces;
  std::size_t fed = 0;
  while (const auto event = whole.next()) {
    streamEventFromJson(*event);
    std::optional<std::string> same;
    while (!(same = pieces.next()) && fed < text.size()) pieces.feed(text.substr(fed++, 1));
    if (same != event) std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  parseAs(CompletionKind::kChat, text);
  parseAs(CompletionKind::kText, text);
  parseStream(text);
  engineReportFromJson(text);
  orderReplyFromJson(text);
  errorFromJson(text, base::ResultCode::kBackEndRefused);
  tableReplyFromJson(text);
  machinesFromJson(text);
  return 0;
}

}  // namespace covewing::live
