#include "config/configuration_distributor.h"

#include <algorithm>
#include <map>
#include <utility>

namespace covewing::config {

namespace {

using clients::TableRow;
using membership::Member;

constexpr base::Duration kTickPeriod = std::chrono::milliseconds(250);
/// While there is no copy yet.
constexpr base::Duration kStartingTickPeriod = std::chrono::milliseconds(100);
constexpr double kJitter = 0.2;
constexpr double kWideJitter = 0.6;
/// Ticks without a new member after which the members are taken as known.
constexpr std::uint32_t kSteadyTicks = 2;
/// Sources asked in a row before the node waits for its next turn.
constexpr std::uint32_t kSourcesInARow = 4;
/// One page of so many is asked of the tier above.
constexpr std::uint64_t kCopySources = 4;
constexpr std::uint64_t kNonceBound = 1ULL << 32U;
/// Rows of one repair message.
constexpr std::size_t kRepairBytes = 32UL << 10U;

}  // namespace

ConfigurationDistributor::ConfigurationDistributor(
    ConfigurationDistributorOptions options, base::Clock& clock, base::TimerService& timers,
    base::RandomSource& random, base::EventLog& log, base::PeerTransport& peers,
    const membership::MemberDirectory& members, clients::TableClient& table,
    clients::ObjectStoreClient& objects, ConfigurationStore& store)
    : options_(std::move(options)),
      clock_(clock),
      timers_(timers),
      random_(random),
      log_(log),
      peers_(peers),
      members_(members),
      store_(store),
      tree_(members, options_.scannersPerRegion),
      scanner_(options_.scanning, clock, timers, random, log, table, store),
      snapshots_(options_.snapshot, clock, log, objects, store),
      copyTokens_(options_.copyBurstBytes) {}

ConfigurationDistributor::~ConfigurationDistributor() {
  for (const base::TimerId timer : {tickTimer_, askTimer_, digestTimer_}) timers_.cancel(timer);
}

// --- timers

void ConfigurationDistributor::start() {
  startedAt_ = clock_.now();
  copyRefilledAt_ = startedAt_;
  // A node that has nobody to learn members from judges by itself at once.
  const bool lone = options_.seeds.empty() && members_.liveMembers().size() <= 1;
  grace_ = lone ? base::Duration{0} : random_.jittered(options_.joinGrace, kWideJitter);
  store_.beginCheck();
  onTick();
  ask();
  digestTimer_ = timers_.schedule(random_.jittered(options_.digestPeriod, kJitter),
                                  [this] { onDigestTick(); });
}

void ConfigurationDistributor::onTick() {
  tickTimer_ =
      timers_.schedule(store_.loaded() ? kTickPeriod : kStartingTickPeriod, [this] { onTick(); });
  const base::TimePoint now = clock_.now();
  store_.noteRunning();
  scanner_.setActive(judges(now) && tree_.tier() == DistributionTier::kScanner);
  updateSnapshot();
}

bool ConfigurationDistributor::judges(base::TimePoint now) {
  if (judges_) return true;
  const bool steady = members_.version() == std::exchange(seenMembers_, members_.version());
  steadyTicks_ = steady ? steadyTicks_ + 1 : 0;
  const bool joined = members_.liveMembers().size() > 1 && steadyTicks_ >= kSteadyTicks;
  judges_ = joined || now - startedAt_ >= grace_;
  return judges_;
}

void ConfigurationDistributor::updateSnapshot() {
  if (!scanner_.active()) return;
  if (!store_.loaded()) {
    if (scanner_.failures() > 0) snapshots_.read();
  } else if (tree_.isFirstScanner() && store_.freshness().confirmed) {
    snapshots_.write();
  }
}

void ConfigurationDistributor::onWake() {
  store_.beginCheck();
  scanner_.hasten();
  question_.reset();
  fruitless_ = 0;
  ask();
}

void ConfigurationDistributor::onDigestTick() {
  digestTimer_ = timers_.schedule(random_.jittered(options_.digestPeriod, kJitter),
                                  [this] { onDigestTick(); });
  const Member* member = randomMember();
  if (member != nullptr && store_.loaded()) send(member->endpoint, DigestProbe{store_.digest()});
}

// --- asking for pages

void ConfigurationDistributor::ask() {
  question_.reset();
  const std::optional<base::Endpoint> source = chooseSource();
  if (!source) return askIn(options_.copyRetry);
  question_ = Question{random_.below(kNonceBound), clock_.now()};
  send(*source, PageRequest{question_->nonce, store_.completeUpTo()});
  timers_.cancel(askTimer_);
  askTimer_ = timers_.schedule(options_.replyTimeout, [this] { onNoAnswer(); });
}

void ConfigurationDistributor::askIn(base::Duration delay) {
  timers_.cancel(askTimer_);
  askTimer_ = timers_.schedule(delay, [this] { ask(); });
}

void ConfigurationDistributor::onNoAnswer() {
  question_.reset();
  askNext(store_.loaded() ? options_.refreshPeriod : options_.copyRetry);
}

void ConfigurationDistributor::askNext(base::Duration wait) {
  if (++fruitless_ < kSourcesInARow) return ask();
  fruitless_ = 0;
  askIn(random_.jittered(wait, kWideJitter));
}

std::optional<base::Endpoint> ConfigurationDistributor::chooseSource() {
  // Who has a copy asks the tier above. Who needs one asks anybody, so that all peers are loaded
  // alike, and now and then the tier above, which has it first when all start.
  const bool anybody = !store_.loaded() && random_.below(kCopySources) != 0;
  const Member* member = anybody ? randomMember() : tree_.randomParent(random_);
  if (member == nullptr) member = randomMember();
  if (member != nullptr) return member->endpoint;
  std::vector<base::Endpoint> seeds = options_.seeds;
  std::erase(seeds, members_.self().endpoint);
  if (seeds.empty()) return std::nullopt;
  return seeds[random_.below(seeds.size())];
}

void ConfigurationDistributor::handle(const base::PeerIdentity& /*sender*/,
                                      const PageReply& message) {
  if (!question_ || question_->nonce != message.nonce) return;
  const base::TimePoint askedAt = question_->askedAt;
  question_.reset();
  if (message.busy) return askIn(random_.jittered(options_.copyRetry, kWideJitter));
  const bool progress = message.completeUpTo > store_.completeUpTo();
  for (const TableRow& row : message.rows) store_.apply(row);
  store_.advance(message.completeUpTo);
  if (message.last && message.confirmedAge)
    store_.confirm(message.completeUpTo, askedAt - *message.confirmedAge);
  if (message.last && message.loaded) store_.markLoaded();
  if (progress || store_.loaded()) fruitless_ = 0;
  if (!message.last) return ask();
  if (store_.loaded()) return askIn(random_.jittered(options_.refreshPeriod, kJitter));
  askNext(options_.copyRetry);
}

void ConfigurationDistributor::handle(const base::PeerIdentity& sender,
                                      const PageRequest& message) {
  PageReply reply;
  reply.nonce = message.nonce;
  RowPage page = store_.page(message.after, options_.pageBytes);
  std::size_t bytes = 0;
  for (const TableRow& row : page.rows) bytes += row.key.size() + row.value.size();
  if (bytes > 0 && !takeCopyBudget(bytes)) {
    reply.busy = true;
    return send(sender.endpoint, reply);
  }
  reply.rows = std::move(page.rows);
  reply.completeUpTo = page.completeUpTo;
  reply.last = page.last;
  reply.loaded = store_.loaded();
  if (const auto confirmedAt = store_.confirmedAt())
    reply.confirmedAge = clock_.now() - *confirmedAt;
  send(sender.endpoint, reply);
}

bool ConfigurationDistributor::takeCopyBudget(std::size_t bytes) {
  const base::TimePoint now = clock_.now();
  const base::Duration elapsed = now - std::exchange(copyRefilledAt_, now);
  copyTokens_ = std::min(options_.copyBurstBytes,
                         copyTokens_ + base::toSeconds(elapsed) * options_.copyBytesPerSecond);
  if (copyTokens_ <= 0) return false;
  copyTokens_ -= static_cast<double>(bytes);
  return true;
}

// --- pushes

void ConfigurationDistributor::onAccepted(const TableRow& row) {
  if (store_.apply(row) == ApplyResult::kApplied) push({row}, options_.firstPushFanout);
}

void ConfigurationDistributor::push(const std::vector<TableRow>& rows, std::size_t fanout) {
  const std::string payload = encode(RowPush{rows, false});
  for (std::size_t index = 0; index < fanout; ++index) {
    const Member* member = randomMember();
    if (member == nullptr) return;
    peers_.send(member->endpoint, base::Channel::kConfiguration, payload);
  }
}

void ConfigurationDistributor::handle(const base::PeerIdentity& /*sender*/,
                                      const RowPush& message) {
  std::vector<TableRow> fresh;
  for (const TableRow& row : message.rows) {
    if (store_.apply(row) == ApplyResult::kApplied) fresh.push_back(row);
  }
  if (!fresh.empty() && !message.repair) push(fresh, options_.pushFanout);
}

// --- comparison

void ConfigurationDistributor::handle(const base::PeerIdentity& sender,
                                      const DigestProbe& message) {
  if (message.digest != store_.digest())
    send(sender.endpoint, BucketDigestList{store_.bucketDigests()});
}

void ConfigurationDistributor::handle(const base::PeerIdentity& sender,
                                      const BucketDigestList& message) {
  BucketRows differing;
  for (std::size_t bucket = 0; bucket < ConfigurationStore::kBucketCount; ++bucket) {
    if (message.digests.at(bucket) == store_.bucketDigests().at(bucket)) continue;
    differing.buckets |= 1ULL << bucket;
    const std::vector<RowSummary> rows = store_.bucketRows(bucket);
    differing.rows.insert(differing.rows.end(), rows.begin(), rows.end());
  }
  if (differing.buckets != 0) send(sender.endpoint, differing);
}

void ConfigurationDistributor::handle(const base::PeerIdentity& sender, const BucketRows& message) {
  std::map<std::uint64_t, base::Revision> theirs;
  for (const RowSummary& row : message.rows) theirs[row.nameHash] = row.revision;
  std::vector<TableRow> newer;
  for (std::size_t bucket = 0; bucket < ConfigurationStore::kBucketCount; ++bucket) {
    if ((message.buckets >> bucket & 1U) == 0) continue;
    for (const RowSummary& row : store_.bucketRows(bucket)) {
      const auto found = theirs.find(row.nameHash);
      const base::Revision held = found == theirs.end() ? 0 : found->second;
      if (const auto own = store_.findRowByHash(row.nameHash, held)) newer.push_back(*own);
      if (found != theirs.end() && found->second <= row.revision) theirs.erase(found);
    }
  }
  sendRows(sender.endpoint, std::move(newer));
  RowsWanted wanted;
  for (const auto& [nameHash, revision] : theirs) wanted.rows.push_back({nameHash, 0});
  if (!wanted.rows.empty()) send(sender.endpoint, wanted);
}

void ConfigurationDistributor::handle(const base::PeerIdentity& sender, const RowsWanted& message) {
  std::vector<TableRow> rows;
  for (const RowSummary& wanted : message.rows) {
    if (const auto row = store_.findRowByHash(wanted.nameHash, wanted.revision))
      rows.push_back(*row);
  }
  sendRows(sender.endpoint, std::move(rows));
}

void ConfigurationDistributor::sendRows(const base::Endpoint& endpoint,
                                        std::vector<TableRow> rows) {
  RowPush message;
  message.repair = true;
  std::size_t bytes = 0;
  for (TableRow& row : rows) {
    bytes += row.key.size() + row.value.size();
    message.rows.push_back(std::move(row));
    // The next comparison brings the rest.
    if (bytes > kRepairBytes) break;
  }
  if (message.rows.empty() || !takeCopyBudget(bytes)) return;
  send(endpoint, message);
}

// --- messages

void ConfigurationDistributor::onPeerMessage(const base::PeerIdentity& sender,
                                             std::string_view payload) {
  const std::optional<ConfigurationMessage> message = decodeConfigurationMessage(payload);
  if (!message) {
    log_.write(base::Event::kMessageRejected, {{"channel", "configuration"}});
    return;
  }
  std::visit([&](const auto& content) { handle(sender, content); }, *message);
}

void ConfigurationDistributor::send(const base::Endpoint& endpoint,
                                    const ConfigurationMessage& message) {
  peers_.send(endpoint, base::Channel::kConfiguration, encode(message));
}

const Member* ConfigurationDistributor::randomMember() {
  const std::vector<Member>& live = members_.liveMembers();
  if (live.size() <= 1) return nullptr;
  const Member* member = &live[random_.below(live.size() - 1)];
  return member->id == members_.self().id ? &live.back() : member;
}

}  // namespace covewing::config
