/// \file
/// Operators' changes of templates. Accepted means committed in the table service by
/// compare-and-set; there is no other write path.
///
/// Each call carries an operation identifier that is written into the row. It makes a lost answer
/// recognisable when the rows are read back, and a repeated call harmless: the call that finds its
/// identifier in the row or its history answers with the revision accepted before.
///
/// States of one edit: reading -> deciding -> committing -> done. A conflict, and an answer that
/// was lost, lead back to reading; attempts are bounded.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/result_code.h"
#include "base/time.h"
#include "clients/table_client.h"
#include "config/configuration_store.h"
#include "config/field_mistake.h"
#include "config/template_row.h"

namespace covewing::config {

/// Told of each row that this node committed, so that it is in force here at once and spread.
class AcceptedRowSink {
 public:
  virtual ~AcceptedRowSink() = default;
  virtual void onAccepted(const clients::TableRow& row) = 0;
};

enum class EditKind : std::uint8_t { kCreate, kChange, kRetire };

/// One operator call.
struct TemplateEdit {
  EditKind kind = EditKind::kCreate;
  std::string name;
  /// JSON text (config/template_document.h); not used by kRetire.
  std::string document;
  /// Version that the operator has seen; not used by kCreate, which wants no template of the name,
  /// or a retired one.
  base::Revision expectedVersion = 0;
  /// Chosen by the operator's client, unique to the call and equal in its repetitions.
  std::string operationId;
  /// Who asks, for people.
  std::string author;
};

enum class EditStatus : std::uint8_t {
  /// Committed; `version` is its revision.
  kAccepted,
  /// Someone else's version is in force: `version` and `holder`.
  kConflict,
  kInvalid,
  kNotFound,
  /// The table service does not answer; nothing was changed.
  kUnavailable,
  /// The change may be in force. Repeating the call with the same operation identifier tells.
  kUnknown,
};

struct EditResult {
  EditStatus status = EditStatus::kUnknown;
  base::Revision version = 0;
  /// Author of the version in force, with kConflict.
  std::string holder;
  std::vector<FieldMistake> mistakes;
  base::Reason reason;
};

/// Versions of a template as the table service has them, oldest first, the one in force last.
struct HistoryResult {
  /// Empty when the table service did not answer.
  std::optional<std::vector<TemplateRow>> versions;
  base::Reason reason;
};

struct TemplateEditorOptions {
  /// Calls to the table service in one edit before it gives up.
  std::uint32_t maximumAttempts = 8;
  /// Wait before the second attempt; doubles with each further one, with jitter.
  base::Duration firstBackoff = std::chrono::milliseconds(50);
};

class TemplateEditor {
 public:
  using Callback = std::function<void(EditResult)>;
  using HistoryCallback = std::function<void(HistoryResult)>;

  TemplateEditor(TemplateEditorOptions options, base::TimerService& timers,
                 base::RandomSource& random, base::EventLog& log, clients::TableClient& table,
                 const ConfigurationStore& store, AcceptedRowSink& sink);
  ~TemplateEditor();
  TemplateEditor(const TemplateEditor&) = delete;
  TemplateEditor& operator=(const TemplateEditor&) = delete;

  /// Answers exactly once, later.
  void submit(TemplateEdit edit, Callback callback);
  /// Reads the template's versions from the table service. Answers exactly once, later.
  void history(const std::string& name, HistoryCallback callback);

 private:
  class Operation;

  TemplateEditorOptions options_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  base::EventLog& log_;
  clients::TableClient& table_;
  const ConfigurationStore& store_;
  AcceptedRowSink& sink_;
  /// Callbacks that outlive the editor find it empty.
  std::shared_ptr<TemplateEditor*> self_;
};

}  // namespace covewing::config
