/// \file
/// The node's copy of all templates. Rows are only ever replaced by rows of a higher revision.
///
/// Rows are kept as they are stored (a tenant that relies on a base is a few hundred bytes) and
/// expanded when first asked for; expanded templates live in a bounded cache.
///
/// Besides the rows the store knows up to which revision of the table service it is complete, and
/// when that was last confirmed; both come from whoever fills it
/// (config/configuration_distributor.h).
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/time.h"
#include "clients/table_client.h"
#include "config/configuration_view.h"
#include "config/template_row.h"

namespace covewing::config {

struct ConfigurationStoreOptions {
  /// Configuration counts as confirmed for this long after the last confirmation.
  base::Duration freshnessBound = std::chrono::seconds(5);
  /// A gap between two calls of `noteRunning` that shows that the process was paused.
  base::Duration pauseThreshold = std::chrono::seconds(1);
  /// Longest wait for the check after a start or a pause.
  base::Duration checkBound = std::chrono::seconds(1);
  /// Expanded templates kept, about a kilobyte each; at most twice as many.
  std::size_t maximumExpanded = 512;
};

enum class ApplyResult : std::uint8_t { kApplied, kNotNewer, kMalformed };

/// Name and revision of a row, as digest exchange compares them.
struct RowSummary {
  std::uint64_t nameHash = 0;
  base::Revision revision = 0;
};

/// Rows above a revision, ascending by revision.
struct RowPage {
  std::vector<clients::TableRow> rows;
  /// Who applies the rows, and was complete before, is complete up to here.
  base::Revision completeUpTo = 0;
  /// The page reaches the end of what the store is complete up to.
  bool last = false;
};

class ConfigurationStore final : public ConfigurationView {
 public:
  static constexpr std::size_t kBucketCount = 64;
  using BucketDigests = std::array<std::uint64_t, kBucketCount>;
  /// Called after a row was applied.
  using Listener = std::function<void(const clients::TableRow& row)>;

  ConfigurationStore(ConfigurationStoreOptions options, base::Clock& clock, base::EventLog& log);
  ~ConfigurationStore() override;
  ConfigurationStore(const ConfigurationStore&) = delete;
  ConfigurationStore& operator=(const ConfigurationStore&) = delete;

  TenantTemplatePtr findByKey(std::string_view bearerKey) const override;
  TenantTemplatePtr findByName(std::string_view name) const override;
  Freshness freshness() const override;
  bool loaded() const override { return loaded_; }

  /// Puts the row in force if its revision is above that of the row held.
  ApplyResult apply(const clients::TableRow& row);
  void subscribe(Listener listener) { listeners_.push_back(std::move(listener)); }

  /// The row held of this name, as stored.
  std::optional<clients::TableRow> findRow(std::string_view name) const;
  /// Names of all templates, bases and retired ones included, ascending.
  std::vector<std::string> names() const;
  /// Names of tenants, not retired, that rely on the base, ascending.
  std::vector<std::string> dependentsOf(std::string_view baseName) const;
  std::size_t size() const { return entries_.size(); }
  /// Highest revision of a row held.
  base::Revision highestRevision() const;

  /// Every row with a revision up to this one, or a later version of it, is here.
  base::Revision completeUpTo() const { return completeUpTo_; }
  /// Records completeness; a lower revision is ignored.
  void advance(base::Revision upTo);
  /// Records that nothing above `upTo` had been accepted at `at`, and that the store is complete up
  /// to there. Ignored where a later confirmation is known.
  void confirm(base::Revision upTo, base::TimePoint at);
  /// Records that a whole copy is here.
  void markLoaded();
  /// Called regularly while the process runs, so that a pause is noticed by its gap.
  void noteRunning();
  /// Starts the check that `Freshness::checking` shows.
  void beginCheck();
  /// When the last confirmation was valid; empty before the first.
  std::optional<base::TimePoint> confirmedAt() const { return confirmedAt_; }

  /// Rows above `after`, as many as fit into `maximumBytes`, at least one. The last page holds also
  /// the rows beyond `completeUpTo`: one of them may stand for an earlier version of itself that is
  /// not beyond it.
  RowPage page(base::Revision after, std::size_t maximumBytes) const;
  /// Digest of names and revisions; equal stores have equal digests, whatever the order of arrival.
  std::uint64_t digest() const;
  const BucketDigests& bucketDigests() const { return bucketDigests_; }
  std::vector<RowSummary> bucketRows(std::size_t bucket) const;
  /// The row whose name has this hash, and whose revision is above `above`.
  std::optional<clients::TableRow> findRowByHash(std::uint64_t nameHash,
                                                 base::Revision above) const;

 private:
  struct Entry {
    std::string value;
    base::Revision revision = 0;
    std::string base;
    std::vector<std::uint64_t> keyPrefixes;
    bool tenant = true;
    bool retired = false;
  };
  using Entries = std::map<std::string, Entry, std::less<>>;
  class ExpansionCache;

  clients::TableRow rowOf(const Entries::value_type& entry) const;
  /// Logs when the configuration becomes stale or fresh again.
  void reportFreshness();
  TenantTemplatePtr expand(const Entries::value_type& entry) const;
  void unindex(const Entries::value_type& entry);
  void index(const Entries::value_type& entry);

  ConfigurationStoreOptions options_;
  base::Clock& clock_;
  base::EventLog& log_;
  Entries entries_;
  /// By leading 64 bits of the key's digest; the whole digest is compared after expansion.
  std::unordered_map<std::uint64_t, const Entries::value_type*> byKeyPrefix_;
  std::unordered_map<std::uint64_t, const Entries::value_type*> byNameHash_;
  std::set<std::pair<base::Revision, std::string_view>> byRevision_;
  BucketDigests bucketDigests_{};
  std::unique_ptr<ExpansionCache> expanded_;
  std::vector<Listener> listeners_;
  base::Revision completeUpTo_ = 0;
  std::optional<base::TimePoint> confirmedAt_;
  std::optional<base::TimePoint> checkUntil_;
  base::TimePoint lastRunning_;
  bool loaded_ = false;
  bool reportedFresh_ = false;
};

}  // namespace covewing::config
