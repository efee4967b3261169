/// \file
/// Conditions common to the platform's services: rate limit, latency, slow and down stretches, and
/// answers lost after their effect.
#pragma once

#include <cstdint>

#include "base/random.h"
#include "base/time.h"

namespace covewing::emulator {

/// A bucket that fills at a steady rate up to its burst.
class TokenBucket {
 public:
  /// `rate` in tokens a second; 0 means no limit.
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}
  /// Takes one token; false when there is none.
  bool take(base::TimePoint now);
  void setRate(double rate, double burst);

 private:
  double rate_;
  double burst_;
  double tokens_;
  base::TimePoint filledAt_{};
};

struct ServiceOptions {
  /// Requests a second over all callers; 0: no limit.
  double rateLimit = 0.0;
  double rateBurst = 100.0;
  /// Time from request to answer, drawn in [1 - jitter, 1 + jitter] around the value.
  base::Duration latency = std::chrono::milliseconds(2);
  double latencyJitter = 0.5;
};

enum class ServiceMode : std::uint8_t { kNormal, kSlow, kDown };

/// Decides what happens to each call of one service.
class ServiceConditions {
 public:
  explicit ServiceConditions(const ServiceOptions& options)
      : options_(options), bucket_(options.rateLimit, options.rateBurst) {}

  void setMode(ServiceMode mode) { mode_ = mode; }
  ServiceMode mode() const { return mode_; }
  /// Added to each answer while the mode is kSlow.
  void setSlowLatency(base::Duration latency) { slowLatency_ = latency; }
  /// Probability that the answer of a change is lost after its effect.
  void setAnswerLoss(double probability) { answerLoss_ = probability; }
  /// The next `count` changes lose their answers.
  void loseNextAnswers(std::uint32_t count) { answersToLose_ = count; }
  void setRateLimit(double rate, double burst) { bucket_.setRate(rate, burst); }

  bool isDown() const { return mode_ == ServiceMode::kDown; }
  /// False when the rate limit refuses the call.
  bool admit(base::TimePoint now);
  base::Duration drawLatency(base::RandomSource& random) const;
  /// Whether the answer of the change just made is lost.
  bool drawAnswerLoss(base::RandomSource& random);

  std::uint64_t admitted() const { return admitted_; }
  std::uint64_t rateLimited() const { return rateLimited_; }
  std::uint64_t answersLost() const { return answersLost_; }

 private:
  ServiceOptions options_;
  TokenBucket bucket_;
  ServiceMode mode_ = ServiceMode::kNormal;
  base::Duration slowLatency_ = std::chrono::seconds(1);
  double answerLoss_ = 0.0;
  std::uint32_t answersToLose_ = 0;
  std::uint64_t admitted_ = 0;
  std::uint64_t rateLimited_ = 0;
  std::uint64_t answersLost_ = 0;
};

}  // namespace covewing::emulator
