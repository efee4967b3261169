#include "live/body_framing.h"

namespace covewing::live {

bool bodyForbidden(unsigned status) {
  constexpr unsigned kOk = 200;
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return status < kOk || status == kNoContent || status == kNotModified;
}

clients::BodyFraming bodyFraming(const HttpResponse& head, std::string_view method) {
  if (method == "HEAD" || bodyForbidden(head.status)) return clients::BodyFraming::kLength;
  if (!head.header("Transfer-Encoding").empty()) return clients::BodyFraming::kChunks;
  return head.header("Content-Length").empty() ? clients::BodyFraming::kConnectionEnd
                                               : clients::BodyFraming::kLength;
}

}  // namespace covewing::live
