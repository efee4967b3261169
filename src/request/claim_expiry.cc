#include "request/claim_expiry.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "request/claim.h"

namespace covewing::request {

using clients::TableReply;
using clients::TableRow;
using clients::TableStatus;

namespace {

constexpr double kPeriodJitter = 0.3;

/// Epoch starts are stored as decimal numbers separated by spaces.
std::string encodeStarts(const std::vector<base::Revision>& starts) {
  return fmt::format("{}", fmt::join(starts, " "));
}

std::vector<base::Revision> decodeStarts(std::string_view text) {
  std::vector<base::Revision> starts;
  const char* position = text.data();
  const char* const end = text.data() + text.size();
  while (position < end) {
    base::Revision start = 0;
    const auto parsed = std::from_chars(position, end, start);
    if (parsed.ec != std::errc()) break;
    starts.push_back(start);
    position = std::min(parsed.ptr + 1, end);
  }
  return starts;
}

ClaimEpochs epochsOf(const std::vector<TableRow>& rows) {
  if (rows.empty()) return {};
  return {decodeStarts(rows.front().value), rows.front().revision};
}

}  // namespace

base::Revision ClaimEpochs::expiredUpTo(std::size_t retainedEpochs) const {
  return starts.size() < retainedEpochs ? 0 : starts[starts.size() - retainedEpochs];
}

ClaimExpiry::ClaimExpiry(ClaimExpiryOptions options, const ClaimExpiryEnvironment& environment)
    : options_(options), environment_(environment), timer_(environment.timers) {}

ClaimExpiry::~ClaimExpiry() = default;

void ClaimExpiry::start() { scheduleNext(); }

void ClaimExpiry::scheduleNext() {
  timer_.start(environment_.random.jittered(options_.period, kPeriodJitter),
               [this] { onPeriod(); });
}

void ClaimExpiry::onPeriod() {
  scheduleNext();
  environment_.table.read({std::string(kEpochsKey)},
                          guarded([this](const TableReply& reply) { onEpochs(reply); }));
}

void ClaimExpiry::onEpochs(const TableReply& reply) {
  if (reply.status != TableStatus::kOk) return;
  const ClaimEpochs epochs = epochsOf(reply.rows);
  const base::TimePoint now = environment_.clock.now();
  if (!epochSeen_ || epochs.current != seenEpoch_) {
    epochSeen_ = true;
    seenEpoch_ = epochs.current;
    epochFirstSeenAt_ = now;
  } else if (now - epochFirstSeenAt_ >= options_.epochLength && ownsShard(0)) {
    startEpoch(epochs);
    return;
  }
  const base::Revision upTo = epochs.expiredUpTo(options_.retainedEpochs);
  const std::optional<std::uint32_t> shard = nextShard();
  if (upTo > 0 && shard.has_value()) cleanShard(*shard, upTo);
}

void ClaimExpiry::startEpoch(const ClaimEpochs& epochs) {
  std::vector<base::Revision> starts = epochs.starts;
  if (epochs.current > 0) starts.push_back(epochs.current);
  const std::size_t excess =
      starts.size() > options_.retainedEpochs ? starts.size() - options_.retainedEpochs : 0;
  starts.erase(starts.begin(), starts.begin() + static_cast<std::ptrdiff_t>(excess));
  clients::TableTransaction transaction;
  transaction.conditions.push_back({std::string(kEpochsKey), epochs.current});
  transaction.writes.push_back({std::string(kEpochsKey), encodeStarts(starts)});
  // The result can be ignored, because the next round reads the row again.
  environment_.table.commit(std::move(transaction), [](const TableReply& /*reply*/) {});
}

std::optional<std::uint32_t> ClaimExpiry::nextShard() {
  for (std::uint32_t step = 1; step <= kClaimShards; ++step) {
    const std::uint32_t shard = (lastShard_ + step) % kClaimShards;
    if (!ownsShard(shard)) continue;
    lastShard_ = shard;
    return shard;
  }
  return std::nullopt;
}

bool ClaimExpiry::ownsShard(std::uint32_t shard) const {
  const std::uint64_t own = base::mixHash(environment_.members.self().id.value, shard);
  return std::ranges::all_of(environment_.members.liveMembers(),
                             [own, shard](const membership::Member& member) {
                               return base::mixHash(member.id.value, shard) <= own;
                             });
}

void ClaimExpiry::cleanShard(std::uint32_t shard, base::Revision upTo) {
  environment_.table.scan(
      claimShardPrefix(shard), 0, options_.rowsPerRemoval,
      guarded([this, shard, upTo](const TableReply& reply) { onScanned(shard, upTo, reply); }));
}

void ClaimExpiry::onScanned(std::uint32_t shard, base::Revision upTo, const TableReply& reply) {
  if (reply.status != TableStatus::kOk) return;
  clients::TableTransaction transaction;
  for (const TableRow& row : reply.rows) {
    if (row.revision > upTo) break;
    transaction.conditions.push_back({row.key, row.revision});
    transaction.writes.push_back({row.key, std::nullopt});
  }
  if (transaction.writes.empty()) return;
  const std::size_t count = transaction.writes.size();
  const bool more = count == options_.rowsPerRemoval;
  environment_.table.commit(std::move(transaction),
                            guarded([this, shard, upTo, count, more](const TableReply& removal) {
                              if (removal.status != TableStatus::kOk) return;
                              removed_ += count;
                              if (more) cleanShard(shard, upTo);
                            }));
}

clients::TableCallback ClaimExpiry::guarded(std::function<void(const TableReply&)> callback) {
  const std::weak_ptr<bool> alive = alive_;
  return [alive, callback = std::move(callback)](const TableReply& reply) {
    if (!alive.expired()) callback(reply);
  };
}

}  // namespace covewing::request
