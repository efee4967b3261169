#include "config/template_editor.h"

#include <algorithm>
#include <utility>

#include "config/json_fields.h"
#include "config/template_document.h"

namespace covewing::config {

namespace {

constexpr double kBackoffJitter = 0.5;
constexpr std::uint32_t kMaximumDoublings = 6;
constexpr std::size_t kMaximumHistoryDocuments = 48UL << 10U;
constexpr std::size_t kMaximumReportedDependents = 8;

using clients::TableReply;
using clients::TableRow;
using clients::TableStatus;
using clients::TableTransaction;

std::string keyOf(std::string_view prefix, std::string_view name) {
  return std::string(prefix) + std::string(name);
}

/// Rows of one read, by key.
class ReadRows {
 public:
  explicit ReadRows(std::vector<TableRow> rows) : rows_(std::move(rows)) {}

  const TableRow* find(std::string_view key) const {
    const auto found = std::find_if(rows_.begin(), rows_.end(),
                                    [&](const TableRow& row) { return row.key == key; });
    return found == rows_.end() ? nullptr : &*found;
  }
  base::Revision revisionOf(std::string_view key) const {
    const TableRow* row = find(key);
    return row == nullptr ? 0 : row->revision;
  }

 private:
  std::vector<TableRow> rows_;
};

std::optional<TemplateRow> parseRow(const TableRow* row) {
  base::Reason ignored;
  return row == nullptr ? std::nullopt : parseTemplateRow(*row, ignored);
}

/// The row's document; empty when it has none that this version of the program can read.
std::optional<TemplateDocument> documentOf(const std::optional<TemplateRow>& row) {
  std::vector<FieldMistake> ignored;
  return row ? parseTemplateDocument(row->document, ignored) : std::nullopt;
}

/// Whether both texts are the same document, whatever their spacing and order of fields.
bool sameJson(const std::string& left, const std::string& right) {
  return Json::parse(left, nullptr, false) == Json::parse(right, nullptr, false);
}

/// The history with the replaced version appended, within its bounds.
TemplateHistory extended(TemplateHistory history, const TemplateRow& replaced) {
  history.versions.push_back(replaced);
  std::size_t bytes = 0;
  for (const TemplateRow& row : history.versions) bytes += row.document.size();
  auto first = history.versions.begin();
  while (history.versions.end() - first > 1 &&
         (static_cast<std::size_t>(history.versions.end() - first) > kMaximumHistory ||
          bytes > kMaximumHistoryDocuments)) {
    bytes -= first->document.size();
    ++first;
  }
  history.versions.erase(history.versions.begin(), first);
  return history;
}

std::string describeFailure(TableStatus status) {
  switch (status) {
    case TableStatus::kRateLimited:
      return "the table service's rate limit is used up";
    case TableStatus::kUnavailable:
      return "no connection to the table service";
    case TableStatus::kConflict:
      return "the rows kept changing";
    default:
      return "the table service did not answer";
  }
}

}  // namespace

/// One edit in progress.
class TemplateEditor::Operation : public std::enable_shared_from_this<TemplateEditor::Operation> {
 public:
  Operation(TemplateEditor& editor, TemplateEdit edit, Callback callback)
      : editor_(editor),
        editorAlive_(editor.self_),
        edit_(std::move(edit)),
        callback_(std::move(callback)) {}

  void start() {
    const std::vector<FieldMistake> mistakes = checkCall();
    if (mistakes.empty()) return read();
    editor_.timers_.schedule(base::Duration{0}, [self = shared_from_this(), mistakes] {
      if (self->alive()) self->finishInvalid(mistakes);
    });
  }

 private:
  bool alive() const { return !editorAlive_.expired(); }

  /// Checks that need no row; fills in `document_`.
  std::vector<FieldMistake> checkCall() {
    std::vector<FieldMistake> mistakes;
    if (!isTemplateName(edit_.name)) mistakes.push_back({"name", "not a valid name"});
    if (edit_.operationId.empty() || edit_.operationId.size() > kMaximumTemplateName)
      mistakes.push_back({"operation", "must be a text of 1 to 64 bytes"});
    if (edit_.author.size() > kMaximumTemplateName)
      mistakes.push_back({"author", "longer than 64 bytes"});
    if (edit_.kind == EditKind::kRetire) return mistakes;
    document_ = parseTemplateDocument(edit_.document, mistakes);
    if (document_ && document_->isBase) checkBaseDocument(*document_, mistakes);
    return mistakes;
  }

  std::vector<std::string> keysToRead() const {
    std::vector<std::string> keys = {templateRowKey(edit_.name),
                                     keyOf(kTemplateHistoryPrefix, edit_.name),
                                     keyOf(kTemplateUsePrefix, edit_.name)};
    if (!document_) return keys;
    if (!document_->base.empty()) keys.push_back(templateRowKey(document_->base));
    for (const std::string& digest : document_->keyDigests)
      keys.push_back(keyOf(kTemplateKeyPrefix, digest));
    return keys;
  }

  void read() {
    ++attempts_;
    editor_.table_.read(keysToRead(), [self = shared_from_this()](TableReply reply) {
      if (self->alive()) self->onRead(std::move(reply));
    });
  }

  void onRead(TableReply reply) {
    if (reply.status != TableStatus::kOk) return retryLater(reply.status);
    decide(ReadRows(std::move(reply.rows)));
  }

  /// Reads again after a wait, or gives up.
  void retryLater(TableStatus status) {
    if (attempts_ >= editor_.options_.maximumAttempts) return finishFailed(status);
    const std::uint32_t doublings = std::min(attempts_ - 1, kMaximumDoublings);
    const base::Duration wait =
        editor_.random_.jittered(editor_.options_.firstBackoff * (1U << doublings), kBackoffJitter);
    editor_.timers_.schedule(wait, [self = shared_from_this()] {
      if (self->alive()) self->read();
    });
  }

  void decide(const ReadRows& rows) {
    const TableRow* row = rows.find(templateRowKey(edit_.name));
    const std::optional<TemplateRow> current = parseRow(row);
    const TableRow* historyRow = rows.find(keyOf(kTemplateHistoryPrefix, edit_.name));
    const TemplateHistory history = historyRow == nullptr
                                        ? TemplateHistory{}
                                        : parseTemplateHistory(edit_.name, historyRow->value);
    if (current && current->operationId == edit_.operationId) {
      if (isThisEdit(*current)) return finishAccepted(*row);
      return finishInvalid({{"operation", "was used for another change of this template"}});
    }
    for (const TemplateRow& version : history.versions) {
      if (version.operationId == edit_.operationId) return finishSuperseded(version.revision);
    }
    if (!expectationHolds(current)) return;
    std::vector<FieldMistake> mistakes = checkAgainst(rows, current);
    if (!mistakes.empty()) return finishInvalid(mistakes);
    if (dependentsUnseen(rows)) return retryLater(TableStatus::kConflict);
    checkDependents(current, mistakes);
    if (!mistakes.empty()) return finishInvalid(mistakes);
    commit(rows, current, history);
  }

  /// Whether the row written under this operation identifier is what this call asks for.
  bool isThisEdit(const TemplateRow& row) const {
    return edit_.kind == EditKind::kRetire ? row.retired
                                           : !row.retired && sameJson(row.document, edit_.document);
  }

  /// Whether the version in force is the one that the operator has seen; answers when it is not.
  bool expectationHolds(const std::optional<TemplateRow>& current) {
    if (edit_.kind == EditKind::kCreate) {
      if (!current || current->retired) return true;
      finishConflict(*current);
      return false;
    }
    if (!current) {
      finish({EditStatus::kNotFound,
              0,
              "",
              {},
              {base::ResultCode::kTemplateNotFound, "no template is named " + edit_.name}});
      return false;
    }
    if (current->revision == edit_.expectedVersion) return true;
    finishConflict(*current);
    return false;
  }

  std::vector<FieldMistake> checkAgainst(const ReadRows& rows,
                                         const std::optional<TemplateRow>& current) const {
    std::vector<FieldMistake> mistakes;
    if (edit_.kind == EditKind::kRetire) {
      if (current->retired) mistakes.push_back({"name", "retired already"});
      return mistakes;
    }
    const std::optional<TemplateDocument> before = documentOf(current);
    if (before && before->isBase != document_->isBase)
      mistakes.push_back({"kind", "a base stays a base, and a tenant a tenant"});
    for (std::size_t index = 0; index < document_->keyDigests.size(); ++index) {
      const TableRow* holder = rows.find(keyOf(kTemplateKeyPrefix, document_->keyDigests[index]));
      if (holder != nullptr && holder->value != edit_.name)
        mistakes.push_back(
            {"key_digests[" + std::to_string(index) + "]", "belongs to template " + holder->value});
    }
    if (!document_->isBase) checkExpansion(rows, mistakes);
    return mistakes;
  }

  void checkExpansion(const ReadRows& rows, std::vector<FieldMistake>& mistakes) const {
    std::optional<TemplateDocument> baseDocument;
    if (!document_->base.empty()) {
      const auto baseRow = parseRow(rows.find(templateRowKey(document_->base)));
      if (baseRow && !baseRow->retired) baseDocument = documentOf(baseRow);
    }
    expandTemplate(edit_.name, *document_, baseDocument ? &*baseDocument : nullptr, mistakes);
  }

  /// A tenant relies on this base that is not yet in this node's copy.
  bool dependentsUnseen(const ReadRows& rows) const {
    return rows.revisionOf(keyOf(kTemplateUsePrefix, edit_.name)) > editor_.store_.completeUpTo();
  }

  /// A changed base must suit every tenant that relies on it; a base in use is not retired.
  void checkDependents(const std::optional<TemplateRow>& current,
                       std::vector<FieldMistake>& mistakes) const {
    const std::optional<TemplateDocument> before = documentOf(current);
    if (!before || !before->isBase) return;
    for (const std::string& name : editor_.store_.dependentsOf(edit_.name)) {
      if (mistakes.size() >= kMaximumReportedDependents) return;
      if (edit_.kind == EditKind::kRetire) {
        mistakes.push_back({"name", "template " + name + " relies on this base"});
        continue;
      }
      const auto row = editor_.store_.findRow(name);
      const auto dependent = documentOf(parseRow(row ? &*row : nullptr));
      std::vector<FieldMistake> found;
      if (dependent) expandTemplate(name, *dependent, &*document_, found);
      if (!found.empty()) mistakes.push_back({"", "template " + name + ": " + toText(found)});
    }
  }

  TemplateRow replacement(const std::optional<TemplateRow>& current) const {
    TemplateRow row;
    row.name = edit_.name;
    row.operationId = edit_.operationId;
    row.author = edit_.author;
    row.retired = edit_.kind == EditKind::kRetire;
    row.document = row.retired ? current->document : edit_.document;
    const bool sameTenant = current && !current->retired;
    row.cacheSalt = sameTenant ? current->cacheSalt : editor_.random_.next();
    return row;
  }

  void commit(const ReadRows& rows, const std::optional<TemplateRow>& current,
              const TemplateHistory& history) {
    const std::string key = templateRowKey(edit_.name);
    const std::string useKey = keyOf(kTemplateUsePrefix, edit_.name);
    TableTransaction transaction;
    transaction.conditions.push_back({key, rows.revisionOf(key)});
    transaction.conditions.push_back({useKey, rows.revisionOf(useKey)});
    std::string value = encodeTemplateRow(replacement(current));
    transaction.writes.push_back({key, value});
    if (current) {
      transaction.writes.push_back({keyOf(kTemplateHistoryPrefix, edit_.name),
                                    encodeTemplateHistory(extended(history, *current))});
    }
    if (document_) {
      addKeys(rows, documentOf(current), transaction);
      addBase(rows, transaction);
    }
    editor_.table_.commit(
        std::move(transaction),
        [self = shared_from_this(), value = std::move(value)](const TableReply& reply) {
          if (self->alive()) self->onCommit(reply, value);
        });
  }

  void addKeys(const ReadRows& rows, const std::optional<TemplateDocument>& before,
               TableTransaction& transaction) const {
    const std::vector<std::string>& digests = document_->keyDigests;
    for (const std::string& digest : digests) {
      const std::string key = keyOf(kTemplateKeyPrefix, digest);
      if (rows.find(key) != nullptr) continue;
      transaction.conditions.push_back({key, 0});
      transaction.writes.push_back({key, edit_.name});
    }
    if (!before) return;
    for (const std::string& digest : before->keyDigests) {
      if (std::find(digests.begin(), digests.end(), digest) == digests.end())
        transaction.writes.push_back({keyOf(kTemplateKeyPrefix, digest), std::nullopt});
    }
  }

  void addBase(const ReadRows& rows, TableTransaction& transaction) const {
    if (document_->base.empty()) return;
    const std::string key = templateRowKey(document_->base);
    transaction.conditions.push_back({key, rows.revisionOf(key)});
    transaction.writes.push_back({keyOf(kTemplateUsePrefix, document_->base), edit_.operationId});
  }

  void onCommit(const TableReply& reply, const std::string& value) {
    if (reply.status == TableStatus::kOk)
      return finishAccepted({templateRowKey(edit_.name), value, reply.revision});
    if (reply.status == TableStatus::kUnknown) mayHaveCommitted_ = true;
    retryLater(reply.status);
  }

  void finishAccepted(const TableRow& row) {
    editor_.log_.write(base::Event::kTemplateAccepted,
                       {{"template", edit_.name}, {"revision", std::to_string(row.revision)}});
    editor_.sink_.onAccepted(row);
    finish({EditStatus::kAccepted, row.revision, edit_.author, {}, {}});
  }

  /// The call was accepted before, and a later version has replaced it since.
  void finishSuperseded(base::Revision revision) {
    finish({EditStatus::kAccepted, revision, edit_.author, {}, {}});
  }

  /// Revisions only grow, so that a commit of this edit still under way cannot take effect any
  /// more.
  void finishConflict(const TemplateRow& current) {
    editor_.log_.write(base::Event::kTemplateConflict,
                       {{"template", edit_.name}, {"revision", std::to_string(current.revision)}});
    finish({EditStatus::kConflict,
            current.revision,
            current.author,
            {},
            {base::ResultCode::kVersionConflict, edit_.name + " is at version " +
                                                     std::to_string(current.revision) + " by " +
                                                     current.author}});
  }

  void finishInvalid(std::vector<FieldMistake> mistakes) {
    if (mayHaveCommitted_) return finishFailed(TableStatus::kUnknown);
    std::string detail = toText(mistakes);
    finish({EditStatus::kInvalid,
            0,
            "",
            std::move(mistakes),
            {base::ResultCode::kTemplateInvalid, std::move(detail)}});
  }

  void finishFailed(TableStatus status) {
    const base::ResultCode code = mayHaveCommitted_ ? base::ResultCode::kPlatformOutcomeUnknown
                                  : status == TableStatus::kRateLimited
                                      ? base::ResultCode::kPlatformRateLimited
                                      : base::ResultCode::kPlatformUnavailable;
    finish({mayHaveCommitted_ ? EditStatus::kUnknown : EditStatus::kUnavailable,
            0,
            "",
            {},
            {code, describeFailure(status)}});
  }

  void finish(EditResult result) { std::exchange(callback_, nullptr)(std::move(result)); }

  TemplateEditor& editor_;
  std::weak_ptr<TemplateEditor*> editorAlive_;
  TemplateEdit edit_;
  Callback callback_;
  std::optional<TemplateDocument> document_;
  std::uint32_t attempts_ = 0;
  /// A commit got no answer.
  bool mayHaveCommitted_ = false;
};

TemplateEditor::TemplateEditor(TemplateEditorOptions options, base::TimerService& timers,
                               base::RandomSource& random, base::EventLog& log,
                               clients::TableClient& table, const ConfigurationStore& store,
                               AcceptedRowSink& sink)
    : options_(options),
      timers_(timers),
      random_(random),
      log_(log),
      table_(table),
      store_(store),
      sink_(sink),
      self_(std::make_shared<TemplateEditor*>(this)) {}

TemplateEditor::~TemplateEditor() = default;

void TemplateEditor::submit(TemplateEdit edit, Callback callback) {
  std::make_shared<Operation>(*this, std::move(edit), std::move(callback))->start();
}

void TemplateEditor::history(const std::string& name, HistoryCallback callback) {
  const std::string rowKey = templateRowKey(name);
  const std::string historyKey = keyOf(kTemplateHistoryPrefix, name);
  table_.read({rowKey, historyKey}, [name, rowKey, historyKey,
                                     callback = std::move(callback)](TableReply reply) {
    HistoryResult result;
    if (reply.status != TableStatus::kOk) {
      result.reason = {base::ResultCode::kPlatformUnavailable, describeFailure(reply.status)};
      return callback(std::move(result));
    }
    const ReadRows rows(std::move(reply.rows));
    const TableRow* historyRow = rows.find(historyKey);
    std::vector<TemplateRow> versions;
    if (historyRow != nullptr) versions = parseTemplateHistory(name, historyRow->value).versions;
    if (const auto current = parseRow(rows.find(rowKey))) versions.push_back(*current);
    result.versions = std::move(versions);
    callback(std::move(result));
  });
}

}  // namespace covewing::config
