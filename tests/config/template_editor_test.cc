#include "config/template_editor.h"

#include <boost/test/unit_test.hpp>

#include "config/template_fixtures.h"
#include "config/virtual_platform.h"

namespace covewing::config {

namespace {

using std::chrono::seconds;

/// One node's editor. Its store is scanned from the table before each edit, as the distributor
/// does it all the time.
class Editor final : public AcceptedRowSink {
 public:
  Editor(test::VirtualPlatform& platform, test::VirtualProcess& process)
      : platform_(platform),
        table_(platform, process),
        store_({}, process, log_),
        editor_({}, process, process.random, log_, table_, store_, *this) {}

  void onAccepted(const clients::TableRow& row) override { store_.apply(row); }
  void catchUp() {
    const clients::TableReply reply =
        platform_.table.scanNow(std::string(kTemplatePrefix), 0, 100'000);
    for (const auto& row : reply.rows) store_.apply(row);
    store_.advance(reply.revision);
  }

  TemplateEditor* operator->() { return &editor_; }

 private:
  test::VirtualPlatform& platform_;
  base::NullEventLog log_;
  test::VirtualTableClient table_;
  ConfigurationStore store_;
  TemplateEditor editor_;
};

struct Bench {
  explicit Bench(std::uint64_t seed = 1) : network(time, seed), platform(network, seed) {
    for (std::uint32_t index = 0; index < 4; ++index) {
      test::VirtualProcess& process =
          network.add("node-" + std::to_string(index), {index + 10, 7000});
      editors.push_back(std::make_unique<Editor>(platform, process));
    }
  }

  EditResult edit(const TemplateEdit& edit, std::size_t editor = 0) {
    std::optional<EditResult> result;
    editors[editor]->catchUp();
    (*editors[editor])->submit(edit, [&](EditResult answer) { result = std::move(answer); });
    BOOST_TEST(!result.has_value(), "answers come later");
    time.runUntil([&] { return result.has_value(); }, seconds(60));
    BOOST_REQUIRE(result.has_value());
    return *result;
  }

  std::vector<TemplateRow> history(const std::string& name) {
    HistoryResult result;
    (*editors[0])->history(name, [&](HistoryResult answer) { result = std::move(answer); });
    time.runFor(seconds(1));
    return result.versions.value_or(std::vector<TemplateRow>{});
  }

  test::VirtualTime time;
  test::VirtualNetwork network;
  test::VirtualPlatform platform;
  std::vector<std::unique_ptr<Editor>> editors;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(TemplateEditorTest)

BOOST_AUTO_TEST_CASE(CreateChangeRetireAndCreateAgain) {
  Bench bench;
  const EditResult created =
      bench.edit(editOf(EditKind::kCreate, "a", wholeDocument("a", 10), 0, "1"));
  BOOST_TEST((created.status == EditStatus::kAccepted));
  const EditResult changed =
      bench.edit(editOf(EditKind::kChange, "a", wholeDocument("a", 20), created.version, "2"));
  BOOST_TEST((changed.status == EditStatus::kAccepted));
  BOOST_TEST(changed.version > created.version);
  const EditResult retired = bench.edit(editOf(EditKind::kRetire, "a", "", changed.version, "3"));
  BOOST_TEST((retired.status == EditStatus::kAccepted));
  const EditResult again =
      bench.edit(editOf(EditKind::kCreate, "a", wholeDocument("a", 30), 0, "4"));
  BOOST_TEST((again.status == EditStatus::kAccepted));

  const std::vector<TemplateRow> versions = bench.history("a");
  BOOST_REQUIRE(versions.size() == 4U);
  BOOST_TEST(versions[0].revision == created.version);
  BOOST_TEST(versions[1].revision == changed.version);
  BOOST_TEST(versions[2].retired);
  BOOST_TEST(versions[1].cacheSalt == versions[0].cacheSalt);
  BOOST_TEST(versions[3].cacheSalt != versions[0].cacheSalt);
}

BOOST_AUTO_TEST_CASE(LostRaceIsAnsweredWithTheVersionInForceAndItsAuthor) {
  Bench bench;
  const auto created = bench.edit(editOf(EditKind::kCreate, "a", wholeDocument("a", 10), 0, "1"));
  const auto first =
      bench.edit(editOf(EditKind::kChange, "a", wholeDocument("a", 20), created.version, "2"), 1);
  const auto second =
      bench.edit(editOf(EditKind::kChange, "a", wholeDocument("a", 30), created.version, "3"), 2);
  BOOST_TEST((second.status == EditStatus::kConflict));
  BOOST_TEST(second.version == first.version);
  BOOST_TEST(second.holder == "operator-2");
  BOOST_TEST((bench.edit(editOf(EditKind::kCreate, "a", wholeDocument("a"), 0, "4")).status ==
              EditStatus::kConflict));
  BOOST_TEST((bench.edit(editOf(EditKind::kChange, "b", wholeDocument("b"), 1, "5")).status ==
              EditStatus::kNotFound));
}

BOOST_AUTO_TEST_CASE(RepeatedCallIsAnsweredAsBefore) {
  Bench bench;
  const TemplateEdit create = editOf(EditKind::kCreate, "a", wholeDocument("a", 10), 0, "1");
  const auto created = bench.edit(create);
  BOOST_TEST(bench.edit(create, 1).version == created.version);
  bench.edit(editOf(EditKind::kChange, "a", wholeDocument("a", 20), created.version, "2"), 2);
  const auto repeated = bench.edit(create, 3);
  BOOST_TEST((repeated.status == EditStatus::kAccepted));
  BOOST_TEST(repeated.version == created.version);
  BOOST_TEST(bench.history("a").size() == 2U);
}

BOOST_AUTO_TEST_CASE(OperationIdentifierOfAnotherChangeIsRefused) {
  Bench bench;
  bench.edit(editOf(EditKind::kCreate, "a", wholeDocument("a", 10), 0, "1"));
  const auto other = bench.edit(editOf(EditKind::kCreate, "a", wholeDocument("a", 11), 0, "1"));
  BOOST_TEST((other.status == EditStatus::kInvalid));
  BOOST_TEST(other.mistakes.at(0).path == "operation");
}

BOOST_AUTO_TEST_CASE(LostAnswerIsReadBack) {
  Bench bench;
  bench.platform.table.conditions().loseNextAnswers(1);
  const auto created = bench.edit(editOf(EditKind::kCreate, "a", wholeDocument("a"), 0, "1"));
  BOOST_TEST((created.status == EditStatus::kAccepted));
  BOOST_TEST(created.version == bench.history("a").at(0).revision);
  BOOST_TEST(bench.history("a").size() == 1U);
}

BOOST_AUTO_TEST_CASE(ServiceThatIsDownLeavesNothingDone) {
  Bench bench;
  bench.platform.table.conditions().setMode(emulator::ServiceMode::kDown);
  const auto result = bench.edit(editOf(EditKind::kCreate, "a", wholeDocument("a"), 0, "1"));
  BOOST_TEST((result.status == EditStatus::kUnavailable));
  BOOST_TEST((result.reason.code == base::ResultCode::kPlatformUnavailable));
}

BOOST_AUTO_TEST_CASE(KeyBelongsToOneTemplate) {
  Bench bench;
  bench.edit(editOf(EditKind::kCreate, "a", wholeDocument("shared"), 0, "1"));
  const auto second = bench.edit(editOf(EditKind::kCreate, "b", wholeDocument("shared"), 0, "2"));
  BOOST_TEST((second.status == EditStatus::kInvalid));
  BOOST_TEST(second.mistakes.at(0).path == "key_digests[0]");
  const auto version = bench.history("a").back().revision;
  bench.edit(editOf(EditKind::kChange, "a", wholeDocument("other"), version, "3"));
  BOOST_TEST((bench.edit(editOf(EditKind::kCreate, "b", wholeDocument("shared"), 0, "4")).status ==
              EditStatus::kAccepted));
}

BOOST_AUTO_TEST_CASE(BaseIsHeldAgainstAllThatRelyOnIt) {
  Bench bench;
  BOOST_TEST((bench.edit(editOf(EditKind::kCreate, "t", tenantDocument("t"), 0, "1")).status ==
              EditStatus::kInvalid));
  const auto base = bench.edit(editOf(EditKind::kCreate, "common", baseDocument(), 0, "2"));
  BOOST_TEST((base.status == EditStatus::kAccepted));
  BOOST_TEST((bench.edit(editOf(EditKind::kCreate, "t", tenantDocument("t"), 0, "3")).status ==
              EditStatus::kAccepted));
  const std::string narrowed =
      R"({"kind": "base", "parameters": {"model": {"type": "text", "allowed": ["rules"]}},
          "body": {"models": [{"model": "${model}"}]}})";
  const auto refused =
      bench.edit(editOf(EditKind::kChange, "common", narrowed, base.version, "4"), 1);
  BOOST_TEST((refused.status == EditStatus::kInvalid));
  BOOST_TEST(toText(refused.mistakes).find("template t") != std::string::npos);
  BOOST_TEST((bench.edit(editOf(EditKind::kRetire, "common", "", base.version, "5")).status ==
              EditStatus::kInvalid));
  BOOST_TEST(
      (bench.edit(editOf(EditKind::kChange, "common", baseDocument(9), base.version, "6")).status ==
       EditStatus::kAccepted));
}

// Operators race through different nodes; answers are lost and commits take effect late. Every
// accepted change must have been made on the version that its operator had seen, each operation at
// most once, and none that was answered with a conflict.
BOOST_AUTO_TEST_CASE(RacingOperatorsWithLostAnswersAreLinearizable) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Bench bench(seed);
    bench.platform.table.conditions().setAnswerLoss(0.2);
    bench.platform.lateCommits = 0.2;
    base::SeededRandom random(seed);
    struct Call {
      TemplateEdit edit;
      std::optional<EditResult> result;
    };
    std::vector<std::unique_ptr<Call>> calls;
    for (int round = 0; round < 14; ++round) {
      const auto current = bench.platform.table.readNow({templateRowKey("a")});
      const base::Revision version = current.rows.empty() ? 0 : current.rows[0].revision;
      for (std::size_t editor = 0; editor < 3; ++editor) {
        auto call = std::make_unique<Call>();
        const std::string id = std::to_string(round) + "-" + std::to_string(editor);
        call->edit = editOf(version == 0 ? EditKind::kCreate : EditKind::kChange, "a",
                            wholeDocument("a", round), version, id);
        Call* raw = call.get();
        (*bench.editors[editor])->submit(call->edit, [raw](EditResult result) {
          raw->result = result;
        });
        calls.push_back(std::move(call));
      }
      bench.time.runFor(std::chrono::milliseconds(random.below(1500)));
    }
    bench.time.runFor(seconds(120));
    const std::vector<TemplateRow> versions = bench.history("a");
    BOOST_REQUIRE(!versions.empty());
    for (const auto& call : calls) {
      BOOST_REQUIRE(call->result.has_value());
      const auto committed = std::count_if(
          versions.begin(), versions.end(),
          [&](const TemplateRow& row) { return row.operationId == call->edit.operationId; });
      BOOST_TEST(committed <= 1, "seed " << seed);
      const EditStatus status = call->result->status;
      if (status == EditStatus::kConflict || status == EditStatus::kUnavailable)
        BOOST_TEST(committed == 0, "seed " << seed << " call " << call->edit.operationId);
      if (status == EditStatus::kAccepted)
        BOOST_TEST(committed == 1, "seed " << seed << " call " << call->edit.operationId);
    }
    for (std::size_t index = 1; index < versions.size(); ++index) {
      BOOST_TEST(versions[index].revision > versions[index - 1].revision);
      const auto maker = std::find_if(calls.begin(), calls.end(), [&](const auto& call) {
        return call->edit.operationId == versions[index].operationId;
      });
      BOOST_REQUIRE((maker != calls.end()));
      BOOST_TEST((*maker)->edit.expectedVersion == versions[index - 1].revision, "seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
