// Time that a node spends on what other nodes announce about one more crash of a replica under
// prompts of 250 parts each: it is to grow in proportion to the number of parts. The first argument
// is the number of prompts, the second the number of parts that a message names.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "quarantine/request_quarantine.h"

namespace covewing::quarantine {

namespace {

constexpr std::uint64_t kPartsOfAPrompt = 250;

class SteadyClock final : public base::Clock {
 public:
  base::TimePoint now() const override {
    return base::TimePoint{std::chrono::duration_cast<base::Duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
  }
};

/// Runs the timers that are due whenever it is asked to.
class PolledTimers final : public base::TimerService {
 public:
  explicit PolledTimers(const base::Clock& clock) : clock_(clock) {}
  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override {
    due_[++last_] = {clock_.now() + delay, std::move(callback)};
    return last_;
  }
  void cancel(base::TimerId timer) override { due_.erase(timer); }
  void poll() {
    const auto now = clock_.now();
    for (auto next = due_.begin(); next != due_.end();) {
      if (next->second.first > now) {
        ++next;
        continue;
      }
      const auto callback = std::move(next->second.second);
      next = due_.erase(next);
      callback();
    }
  }

 private:
  const base::Clock& clock_;
  std::map<base::TimerId, std::pair<base::TimePoint, std::function<void()>>> due_;
  base::TimerId last_ = 0;
};

class NoPeers final : public base::PeerTransport {
 public:
  void send(const base::Endpoint& /*destination*/, base::Channel /*channel*/,
            std::string /*payload*/) override {}
};

/// A fleet of two, so that this node is a home of every part.
class TwoMembers final : public membership::MemberDirectory {
 public:
  TwoMembers() {
    for (std::uint16_t index = 0; index < 2; ++index) {
      membership::Member member;
      member.name = "node-" + std::to_string(index);
      member.id = base::nodeIdOf(member.name);
      member.endpoint = {1, index};
      members_.push_back(member);
    }
  }
  const membership::Member& self() const override { return members_.front(); }
  const std::vector<membership::Member>& liveMembers() const override { return members_; }
  const membership::Member* find(base::NodeId /*id*/) const override { return nullptr; }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return 1; }

 private:
  std::vector<membership::Member> members_;
};

class NoRecords final : public membership::RecordDissemination {
 public:
  void publish(membership::GossipRecord /*record*/) override {}
  std::optional<membership::GossipRecord> find(std::string_view /*key*/) const override {
    return std::nullopt;
  }
  void subscribe(std::string /*keyPrefix*/, Listener /*listener*/) override {}
};

class SilentTable final : public clients::TableClient {
 public:
  void read(std::vector<std::string> /*keys*/, clients::TableCallback /*callback*/) override {}
  void scan(std::string /*prefix*/, base::Revision /*after*/, std::size_t /*limit*/,
            clients::TableCallback /*callback*/) override {}
  void commit(clients::TableTransaction /*transaction*/,
              clients::TableCallback /*callback*/) override {}
};

struct Node {
  SteadyClock clock;
  PolledTimers timers{clock};
  base::SeededRandom random{1};
  base::NullEventLog log;
  NoPeers peers;
  TwoMembers members;
  NoRecords records;
  SilentTable table;
  RequestQuarantine quarantine{{}, {clock, timers, random, log, peers, members, records, table, [] {
                                      return std::optional<base::Duration>{};
                                    }}};
};

/// The announcements behind a crash, with those before it.
std::vector<std::string> announcements(std::uint64_t parts, std::uint64_t partsOfAMessage,
                                       std::uint64_t crashes) {
  std::vector<std::string> messages;
  for (std::uint64_t first = 1; first <= parts; first += partsOfAMessage) {
    RequestSuspected suspected{{first, base::FeatureKind::kPromptPart}};
    for (std::uint64_t replica = 1; replica <= crashes; ++replica) {
      suspected.replicas.push_back({replica});
      suspected.ages.push_back(std::chrono::seconds(4 * (crashes - replica)));
    }
    suspected.begun = suspected.replicas;
    const auto last = std::min(first + partsOfAMessage - 1, parts);
    for (auto part = first + 1; part <= last; ++part)
      suspected.furtherParts.push_back({part, base::FeatureKind::kPromptPart});
    messages.push_back(encode(suspected));
  }
  return messages;
}

void announceSecondCrash(benchmark::State& state) {
  constexpr std::uint64_t kCrashes = 2;
  const auto parts = static_cast<std::uint64_t>(state.range(0)) * kPartsOfAPrompt;
  const auto partsOfAMessage = static_cast<std::uint64_t>(state.range(1));
  for (auto _ : state) {
    state.PauseTiming();
    Node node;
    for (const auto& message : announcements(parts, partsOfAMessage, kCrashes - 1))
      node.quarantine.onPeerMessage({}, message);
    const auto messages = announcements(parts, partsOfAMessage, kCrashes);
    state.ResumeTiming();
    for (const auto& message : messages) {
      node.quarantine.onPeerMessage({}, message);
      node.timers.poll();
    }
  }
}

BENCHMARK(announceSecondCrash)
    ->ArgsProduct({{4, 16}, {1, 1 + kMaximumFurtherParts}})
    ->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace covewing::quarantine
