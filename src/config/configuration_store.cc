#include "config/configuration_store.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "config/bearer_key.h"
#include "config/template_document.h"

namespace covewing::config {

namespace {

constexpr std::size_t kKeyPrefixDigits = 16;
constexpr int kHexadecimal = 16;
/// Sorts behind every template name.
constexpr std::string_view kAfterAllNames = "\x7f";

std::uint64_t keyPrefixOf(std::string_view digest) {
  std::uint64_t prefix = 0;
  std::from_chars(digest.data(), digest.data() + kKeyPrefixDigits, prefix, kHexadecimal);
  return prefix;
}

std::size_t bucketOf(std::uint64_t nameHash) { return nameHash % ConfigurationStore::kBucketCount; }

}  // namespace

/// Expanded templates in two generations: a hit moves to the young one; when that is full it
/// becomes the old one, and the former old one is dropped.
class ConfigurationStore::ExpansionCache {
 public:
  explicit ExpansionCache(std::size_t capacity) : capacity_(std::max<std::size_t>(capacity, 1)) {}

  TenantTemplatePtr find(std::string_view name, base::Revision revision) {
    for (Generation* generation : {&young_, &old_}) {
      const auto found = generation->find(name);
      if (found == generation->end()) continue;
      TenantTemplatePtr expanded = found->second;
      if (expanded->revision != revision) return nullptr;
      if (generation == &old_) insert(expanded);
      return expanded;
    }
    return nullptr;
  }

  void insert(const TenantTemplatePtr& expanded) {
    if (young_.size() >= capacity_) old_ = std::exchange(young_, Generation{});
    young_.insert_or_assign(expanded->name, expanded);
  }

 private:
  using Generation = std::map<std::string, TenantTemplatePtr, std::less<>>;
  std::size_t capacity_;
  Generation young_;
  Generation old_;
};

ConfigurationStore::ConfigurationStore(ConfigurationStoreOptions options, base::Clock& clock,
                                       base::EventLog& log)
    : options_(options),
      clock_(clock),
      log_(log),
      expanded_(std::make_unique<ExpansionCache>(options.maximumExpanded)),
      lastRunning_(clock.now()) {
  beginCheck();
}

ConfigurationStore::~ConfigurationStore() = default;

clients::TableRow ConfigurationStore::rowOf(const Entries::value_type& entry) const {
  return {templateRowKey(entry.first), entry.second.value, entry.second.revision};
}

TenantTemplatePtr ConfigurationStore::expand(const Entries::value_type& entry) const {
  if (!entry.second.tenant) return nullptr;
  const auto base = entry.second.base.empty() ? entries_.end() : entries_.find(entry.second.base);
  const base::Revision revision =
      std::max(entry.second.revision, base == entries_.end() ? 0 : base->second.revision);
  if (TenantTemplatePtr cached = expanded_->find(entry.first, revision)) return cached;

  base::Reason reason;
  std::vector<FieldMistake> mistakes;
  const std::optional<TemplateRow> row = parseTemplateRow(rowOf(entry), reason);
  if (!row) return nullptr;
  const auto document = parseTemplateDocument(row->document, mistakes);
  std::optional<TemplateDocument> baseDocument;
  if (base != entries_.end()) {
    const std::optional<TemplateRow> baseRow = parseTemplateRow(rowOf(*base), reason);
    if (baseRow) baseDocument = parseTemplateDocument(baseRow->document, mistakes);
  }
  if (!document) return nullptr;
  std::optional<TenantTemplate> expanded =
      expandTemplate(entry.first, *document, baseDocument ? &*baseDocument : nullptr, mistakes);
  if (!expanded) return nullptr;
  expanded->cacheSalt = row->cacheSalt;
  expanded->retired = row->retired;
  expanded->revision = revision;
  auto shared = std::make_shared<const TenantTemplate>(std::move(*expanded));
  expanded_->insert(shared);
  return shared;
}

TenantTemplatePtr ConfigurationStore::findByKey(std::string_view bearerKey) const {
  const std::string digest = digestBearerKey(bearerKey);
  const auto found = byKeyPrefix_.find(keyPrefixOf(digest));
  if (found == byKeyPrefix_.end()) return nullptr;
  TenantTemplatePtr expanded = expand(*found->second);
  if (expanded == nullptr) return nullptr;
  const auto& digests = expanded->keyDigests;
  return std::find(digests.begin(), digests.end(), digest) == digests.end() ? nullptr : expanded;
}

TenantTemplatePtr ConfigurationStore::findByName(std::string_view name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : expand(*found);
}

Freshness ConfigurationStore::freshness() const {
  const base::TimePoint now = clock_.now();
  Freshness freshness;
  freshness.revision = highestRevision();
  freshness.age = confirmedAt_ ? now - *confirmedAt_ : base::Duration::max();
  freshness.confirmed = freshness.age <= options_.freshnessBound;
  const bool paused = now - lastRunning_ > options_.pauseThreshold;
  freshness.checking = !freshness.confirmed && (paused || (checkUntil_ && now < *checkUntil_));
  return freshness;
}

ApplyResult ConfigurationStore::apply(const clients::TableRow& row) {
  base::Reason reason;
  const std::optional<TemplateRow> parsed = parseTemplateRow(row, reason);
  if (!parsed) {
    log_.write(base::Event::kMessageRejected, {{"detail", reason.detail}});
    return ApplyResult::kMalformed;
  }
  const auto [position, inserted] = entries_.try_emplace(parsed->name);
  if (!inserted && position->second.revision >= row.revision) return ApplyResult::kNotNewer;
  if (!inserted) unindex(*position);

  Entry& entry = position->second;
  entry = Entry{};
  entry.value = row.value;
  entry.value.shrink_to_fit();
  entry.revision = row.revision;
  entry.retired = parsed->retired;
  std::vector<FieldMistake> mistakes;
  if (const auto document = parseTemplateDocument(parsed->document, mistakes)) {
    entry.base = document->base;
    entry.tenant = !document->isBase;
    for (const std::string& digest : document->keyDigests)
      entry.keyPrefixes.push_back(keyPrefixOf(digest));
  } else {
    entry.tenant = false;
    log_.write(base::Event::kMessageRejected,
               {{"template", parsed->name}, {"detail", toText(mistakes)}});
  }
  index(*position);
  if (loaded_) {
    log_.write(base::Event::kTemplateInForce,
               {{"template", parsed->name}, {"revision", std::to_string(row.revision)}});
  }
  for (const Listener& listener : listeners_) listener(row);
  return ApplyResult::kApplied;
}

void ConfigurationStore::unindex(const Entries::value_type& entry) {
  for (const std::uint64_t prefix : entry.second.keyPrefixes) {
    const auto found = byKeyPrefix_.find(prefix);
    if (found != byKeyPrefix_.end() && found->second == &entry) byKeyPrefix_.erase(found);
  }
  byRevision_.erase({entry.second.revision, entry.first});
  const std::uint64_t nameHash = base::hashName(entry.first);
  bucketDigests_.at(bucketOf(nameHash)) -= base::mixHash(nameHash, entry.second.revision);
}

void ConfigurationStore::index(const Entries::value_type& entry) {
  for (const std::uint64_t prefix : entry.second.keyPrefixes) {
    const auto [position, inserted] = byKeyPrefix_.try_emplace(prefix, &entry);
    // A key moves from one template to another; the later revision has it.
    if (!inserted && position->second->second.revision < entry.second.revision)
      position->second = &entry;
  }
  byRevision_.insert({entry.second.revision, entry.first});
  const std::uint64_t nameHash = base::hashName(entry.first);
  byNameHash_.insert_or_assign(nameHash, &entry);
  bucketDigests_.at(bucketOf(nameHash)) += base::mixHash(nameHash, entry.second.revision);
}

std::optional<clients::TableRow> ConfigurationStore::findRow(std::string_view name) const {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return std::nullopt;
  return rowOf(*found);
}

std::vector<std::string> ConfigurationStore::names() const {
  std::vector<std::string> names;
  names.reserve(entries_.size());
  for (const auto& entry : entries_) names.push_back(entry.first);
  return names;
}

std::vector<std::string> ConfigurationStore::dependentsOf(std::string_view baseName) const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : entries_) {
    if (entry.base == baseName && !entry.retired) names.push_back(name);
  }
  return names;
}

base::Revision ConfigurationStore::highestRevision() const {
  return byRevision_.empty() ? 0 : byRevision_.rbegin()->first;
}

void ConfigurationStore::advance(base::Revision upTo) {
  completeUpTo_ = std::max(completeUpTo_, upTo);
}

void ConfigurationStore::confirm(base::Revision upTo, base::TimePoint at) {
  advance(upTo);
  confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, at) : at;
  if (freshness().confirmed) checkUntil_.reset();
  reportFreshness();
}

void ConfigurationStore::reportFreshness() {
  const Freshness now = freshness();
  if (now.confirmed == reportedFresh_) return;
  reportedFresh_ = now.confirmed;
  log_.write(now.confirmed ? base::Event::kConfigurationFresh : base::Event::kConfigurationStale,
             {{"revision", std::to_string(completeUpTo_)}});
}

void ConfigurationStore::markLoaded() {
  if (std::exchange(loaded_, true)) return;
  log_.write(base::Event::kConfigurationLoaded, {{"templates", std::to_string(entries_.size())},
                                                 {"revision", std::to_string(completeUpTo_)}});
}

void ConfigurationStore::noteRunning() {
  const base::TimePoint now = clock_.now();
  if (now - lastRunning_ > options_.pauseThreshold) beginCheck();
  lastRunning_ = now;
  reportFreshness();
}

void ConfigurationStore::beginCheck() { checkUntil_ = clock_.now() + options_.checkBound; }

RowPage ConfigurationStore::page(base::Revision after, std::size_t maximumBytes) const {
  RowPage page;
  page.completeUpTo = completeUpTo_;
  page.last = true;
  std::size_t bytes = 0;
  for (auto position = byRevision_.upper_bound({after, kAfterAllNames});
       position != byRevision_.end(); ++position) {
    clients::TableRow row = *findRow(position->second);
    bytes += row.key.size() + row.value.size();
    const bool sameRevision = !page.rows.empty() && page.rows.back().revision == row.revision;
    const bool beyond = row.revision > completeUpTo_;
    if (bytes > maximumBytes && !page.rows.empty() && !sameRevision && !beyond) {
      page.completeUpTo = page.rows.back().revision;
      page.last = false;
      break;
    }
    page.rows.push_back(std::move(row));
  }
  return page;
}

std::uint64_t ConfigurationStore::digest() const {
  std::uint64_t digest = 0;
  for (const std::uint64_t bucket : bucketDigests_) digest = base::mixHash(digest, bucket);
  return digest;
}

std::vector<RowSummary> ConfigurationStore::bucketRows(std::size_t bucket) const {
  std::vector<RowSummary> rows;
  for (const auto& [name, entry] : entries_) {
    const std::uint64_t nameHash = base::hashName(name);
    if (bucketOf(nameHash) == bucket) rows.push_back({nameHash, entry.revision});
  }
  return rows;
}

std::optional<clients::TableRow> ConfigurationStore::findRowByHash(std::uint64_t nameHash,
                                                                   base::Revision above) const {
  const auto found = byNameHash_.find(nameHash);
  if (found == byNameHash_.end() || found->second->second.revision <= above) return std::nullopt;
  return rowOf(*found->second);
}

}  // namespace covewing::config
