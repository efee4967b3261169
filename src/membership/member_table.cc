#include "membership/member_table.h"

#include <algorithm>
#include <utility>

namespace covewing::membership {

namespace {

/// Members are drawn one by one when fewer than this part of them is wanted.
constexpr std::size_t kFewMembers = 4;

bool isLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

/// Contribution to a digest; a suspicion alone does not change it, and who is gone has none.
std::uint32_t digestOf(const Member& member, std::uint32_t sequence) {
  if (!isLive(member.state)) return 0;
  return static_cast<std::uint32_t>(
      base::mixHash(base::mixHash(member.id.value, member.incarnation), sequence));
}

void fill(Member& member, const MemberUpdate& update) {
  member.incarnation = update.version.incarnation;
  member.state = update.version.state;
  member.draining = update.draining;
  if (!update.full) return;
  member.name = update.name;
  member.endpoint = update.endpoint;
  member.zone = update.zone;
  member.region = update.region;
}

}  // namespace

MemberTable::MemberTable(Member self, MemberRetention retention) : retention_(retention) {
  const base::NodeId id = self.id;
  self_ = &entries_[id];
  self_->member = std::move(self);
  changed(*self_, 0);
}

const Member* MemberTable::find(base::NodeId id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.member;
}

std::uint32_t MemberTable::sequenceOf(base::NodeId id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? 0 : found->second.sequence;
}

MemberVersion MemberTable::versionOf(base::NodeId id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return {};
  const Entry& entry = found->second;
  return {entry.member.incarnation, entry.sequence, entry.member.state};
}

MemberChange MemberTable::apply(const MemberUpdate& update, base::TimePoint now,
                                base::Duration deadline) {
  MemberChange change;
  const auto found = entries_.find(update.id);
  if (found == entries_.end()) {
    change.kind = MemberChange::Kind::kUnknown;
    // A member heard of for the first time when it is gone is ignored.
    if (!update.full || !isLive(update.version.state)) return change;
  } else {
    const MemberVersion known = versionOf(update.id);
    change.before = known.state;
    change.member = &found->second.member;
    if (update.version <= known) {
      change.kind =
          update.version == known ? MemberChange::Kind::kNone : MemberChange::Kind::kOutdated;
      return change;
    }
  }
  const bool isNew = found == entries_.end();
  Entry& entry = isNew ? entries_[update.id] : found->second;
  const std::uint32_t digestBefore = isNew ? 0 : digestOf(entry.member, entry.sequence);
  entry.member.id = update.id;
  fill(entry.member, update);
  entry.sequence = update.version.sequence;
  entry.changedAt = now;
  suspicions_.erase(update.id);
  if (isLive(update.version.state)) {
    gone_.erase(update.id);
  } else {
    gone_.insert(update.id);
  }
  if (update.version.state == MemberState::kSuspect) suspicions_.emplace(update.id, deadline);
  change.kind = MemberChange::Kind::kChanged;
  change.member = &entry.member;
  changed(entry, digestBefore);
  return change;
}

void MemberTable::renewSelf(std::uint32_t accused, MemberState state, bool draining) {
  const std::uint32_t digestBefore = digestOf(self_->member, self_->sequence);
  self_->sequence = std::max(self_->sequence, accused) + 1;
  self_->member.state = state;
  self_->member.draining = draining;
  changed(*self_, digestBefore);
}

std::vector<base::NodeId> MemberTable::expiredSuspicions(base::Duration running) const {
  std::vector<base::NodeId> expired;
  for (const auto& [id, deadline] : suspicions_) {
    if (deadline <= running) expired.push_back(id);
  }
  return expired;
}

std::optional<base::Duration> MemberTable::suspicionDeadline(base::NodeId id) const {
  const auto found = suspicions_.find(id);
  return found == suspicions_.end() ? std::nullopt : std::optional(found->second);
}

void MemberTable::purge(base::TimePoint now) {
  std::erase_if(gone_, [&](base::NodeId id) {
    const Entry& entry = entries_.at(id);
    const bool left = entry.member.state == MemberState::kLeft;
    if (now - entry.changedAt <= (left ? retention_.left : retention_.dead)) return false;
    entries_.erase(id);
    return true;
  });
}

const Member* MemberTable::randomLive(base::RandomSource& random, base::NodeId excluded) const {
  const std::vector<const Member*> chosen = randomLive(random, 1, excluded);
  return chosen.empty() ? nullptr : chosen.front();
}

namespace {
/// Moves `count` random elements to the front and drops the others.
template <class Element>
void choose(std::vector<Element>& elements, std::size_t count, base::RandomSource& random) {
  const std::size_t chosen = std::min(count, elements.size());
  for (std::size_t index = 0; index < chosen; ++index)
    std::swap(elements[index], elements[index + random.below(elements.size() - index)]);
  elements.resize(chosen);
}
}  // namespace

std::vector<base::NodeId> MemberTable::randomSuspects(base::RandomSource& random,
                                                      std::size_t count) const {
  std::vector<base::NodeId> suspects;
  for (const auto& [id, deadline] : suspicions_) suspects.push_back(id);
  choose(suspects, count, random);
  return suspects;
}

std::vector<const Member*> MemberTable::randomLive(base::RandomSource& random, std::size_t count,
                                                   base::NodeId excluded) const {
  const std::vector<Member>& members = live();
  std::vector<const Member*> chosen;
  const auto fits = [&](const Member& member) {
    return member.id != self().id && member.id != excluded &&
           std::find(chosen.begin(), chosen.end(), &member) == chosen.end();
  };
  if (count < members.size() / kFewMembers) {
    while (chosen.size() < count) {
      const Member& member = members[random.below(members.size())];
      if (fits(member)) chosen.push_back(&member);
    }
    return chosen;
  }
  for (const Member& member : members) {
    if (member.id != self().id && member.id != excluded) chosen.push_back(&member);
  }
  choose(chosen, count, random);
  return chosen;
}

const Member* MemberTable::randomDead(base::RandomSource& random) const {
  std::vector<const Member*> dead;
  for (const base::NodeId id : gone_) {
    const Member& member = entries_.at(id).member;
    if (member.state == MemberState::kDead) dead.push_back(&member);
  }
  return dead.empty() ? nullptr : dead[random.below(dead.size())];
}

std::vector<MemberSummary> MemberTable::summary(std::uint32_t bucketMask) const {
  std::vector<MemberSummary> summary;
  for (const Member& member : live()) {
    if ((bucketMask >> bucketOf(member.id) & 1U) != 0)
      summary.push_back({member.id, member.incarnation, sequenceOf(member.id)});
  }
  return summary;
}

void MemberTable::changed(const Entry& entry, std::uint32_t digestBefore) {
  std::uint32_t& digest = digests_.at(bucketOf(entry.member.id));
  digest += digestOf(entry.member, entry.sequence) - digestBefore;
  liveOutdated_ = true;
  ++version_;
}

std::size_t MemberTable::lost() const {
  return static_cast<std::size_t>(std::ranges::count_if(gone_, [this](base::NodeId id) {
    return entries_.at(id).member.state == MemberState::kDead;
  }));
}

const std::vector<Member>& MemberTable::live() const {
  if (!liveOutdated_) return live_;
  live_.clear();
  for (const auto& [id, entry] : entries_) {
    if (isLive(entry.member.state)) live_.push_back(entry.member);
  }
  liveOutdated_ = false;
  return live_;
}

}  // namespace covewing::membership
