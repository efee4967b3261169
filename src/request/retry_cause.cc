#include "request/retry_cause.h"

namespace covewing::request {

std::string_view toString(RetryCause cause) {
  switch (cause) {
    case RetryCause::kRefused:
      return "refused";
    case RetryCause::kFailed:
      return "failed";
    case RetryCause::kLost:
      return "lost";
    case RetryCause::kSilent:
      return "silent";
    case RetryCause::kWeightsOutOfDate:
      return "weights_out_of_date";
    case RetryCause::kNeverArrived:
      return "never_arrived";
  }
  return "unknown";
}

}  // namespace covewing::request
