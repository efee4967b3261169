#include "request/claim_store.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace covewing::request {

namespace {

/// Seed of the hash that ranks the members of a region as collectors; an arbitrary constant.
constexpr std::uint64_t kCollectorRankSeed = 0xc0113c70;
/// The wait for a collector is at most the time limit of the claim divided by this number. The rest
/// of the time is left for this node's own committer.
constexpr int kCollectorLimitDivisor = 2;

ClaimCommitOptions collectorOptionsOf(const ClaimOptions& options) {
  ClaimCommitOptions result;
  result.transactionsPerSecond = options.collectorTransactionsPerSecond;
  result.transactionBurst = 2;
  result.maximumTransactions = 2;
  // The requesting node may have read the row itself and dispatched its request.
  result.releaseAbandoned = false;
  return result;
}

}  // namespace

ClaimStore::ClaimStore(ClaimOptions options, const ClaimEnvironment& environment)
    : options_(options),
      environment_(environment),
      direct_(environment.table, environment.clock, environment.timers, environment.random),
      collector_(environment.table, environment.clock, environment.timers, environment.random,
                 collectorOptionsOf(options)),
      directShare_(options.fleetDirectTransactionsPerSecond, options.directBurst,
                   environment.clock.now()) {}

ClaimStore::~ClaimStore() = default;

void ClaimStore::claim(base::TenantId tenant, std::string_view idempotencyKey,
                       const base::RequestId& request, base::Duration limit,
                       ClaimCallback callback) {
  ClaimSpec spec;
  spec.key = claimRowKey(tenant, idempotencyKey);
  base::RandomSource& random = environment_.random;
  const std::uint64_t firstNonce = random.next();
  spec.value = claimRowValue(firstNonce, random.next(), request);
  if (!takeDirectShare()) {
    if (const auto collector = collectorOf(spec.key)) {
      forward(*collector, std::move(spec), limit, std::move(callback));
      return;
    }
  }
  ++counters_.direct;
  direct_.claim(std::move(spec), limit, std::move(callback));
}

bool ClaimStore::takeDirectShare() {
  const auto nodes =
      static_cast<double>(std::max<std::size_t>(1, environment_.members.liveMembers().size()));
  directShare_.setRate(options_.fleetDirectTransactionsPerSecond / nodes);
  return directShare_.take(environment_.clock.now()) == base::Duration::zero();
}

std::optional<membership::Member> ClaimStore::collectorOf(std::string_view key) const {
  const membership::MemberDirectory& members = environment_.members;
  std::vector<std::pair<std::uint64_t, const membership::Member*>> ranked;
  for (const membership::Member& member : members.liveMembers()) {
    if (member.region != members.self().region || member.draining) continue;
    if (member.state != membership::MemberState::kAlive) continue;
    ranked.emplace_back(base::mixHash(member.id.value, kCollectorRankSeed), &member);
  }
  if (ranked.size() < 2) return std::nullopt;
  std::ranges::sort(ranked);
  ranked.resize(std::min(ranked.size(), options_.collectorsPerRegion));
  const std::uint64_t keyHash = base::hashName(key);
  const auto weight = [keyHash](const auto& entry) {
    return base::mixHash(entry.second->id.value, keyHash);
  };
  return *std::ranges::max_element(ranked, {}, weight)->second;
}

void ClaimStore::forward(const membership::Member& collector, ClaimSpec spec, base::Duration limit,
                         ClaimCallback callback) {
  ++counters_.forwarded;
  const std::uint64_t number = environment_.random.next();
  const base::Duration wait = std::min(options_.collectorTimeout, limit / kCollectorLimitDivisor);
  const ClaimRequest request{number, spec.key, spec.value, wait};
  auto forwarded = std::make_unique<Forwarded>(environment_.timers);
  forwarded->spec = std::move(spec);
  forwarded->deadline = environment_.clock.now() + limit;
  forwarded->callback = std::move(callback);
  forwarded->timeout.start(wait, [this, number] { fallBack(number); });
  forwarded_.emplace(number, std::move(forwarded));
  if (collector.id == environment_.members.self().id) {
    const membership::Member& self = environment_.members.self();
    handle({self.id, self.incarnation, self.endpoint}, request);
    return;
  }
  environment_.peers.send(collector.endpoint, base::Channel::kRequest, encodeClaimMessage(request));
}

void ClaimStore::fallBack(std::uint64_t number) {
  const auto found = forwarded_.find(number);
  if (found == forwarded_.end()) return;
  const std::unique_ptr<Forwarded> forwarded = std::move(found->second);
  forwarded_.erase(found);
  ++counters_.fallbacks;
  const base::Duration remaining = forwarded->deadline - environment_.clock.now();
  forwarded->spec.uncertain = true;
  direct_.claim(std::move(forwarded->spec), std::max(remaining, base::Duration::zero()),
                std::move(forwarded->callback));
}

void ClaimStore::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  const std::optional<ClaimMessage> message = decodeClaimMessage(payload);
  if (!message.has_value()) {
    ++counters_.malformed;
    return;
  }
  std::visit([this, &sender](const auto& typed) { handle(sender, typed); }, *message);
}

void ClaimStore::handle(const base::PeerIdentity& sender, const ClaimRequest& request) {
  const base::Endpoint endpoint = sender.endpoint;
  const bool own = sender.node == environment_.members.self().id;
  collector_.claim(
      {request.key, request.value, false}, request.limit,
      [this, sender, own, endpoint, number = request.number](const ClaimResult& result) {
        const ClaimReply reply{number, result.status, result.claim.revision, result.reason.detail};
        if (own) {
          handle(sender, reply);
        } else {
          environment_.peers.send(endpoint, base::Channel::kRequest, encodeClaimMessage(reply));
        }
      });
}

void ClaimStore::handle(const base::PeerIdentity& /*sender*/, const ClaimReply& reply) {
  const auto found = forwarded_.find(reply.number);
  if (found == forwarded_.end()) return;
  if (reply.status == ClaimStatus::kUnavailable) {
    fallBack(reply.number);
    return;
  }
  const std::unique_ptr<Forwarded> forwarded = std::move(found->second);
  forwarded_.erase(found);
  ClaimResult result;
  result.status = reply.status;
  if (reply.status == ClaimStatus::kOwned) {
    result.claim = {forwarded->spec.key, reply.revision};
  } else {
    result.reason = {base::ResultCode::kDuplicateRequest, reply.detail};
  }
  forwarded->callback(std::move(result));
}

}  // namespace covewing::request
