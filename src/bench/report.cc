#include "bench/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <vector>

namespace covewing::bench {

namespace {

using Json = nlohmann::ordered_json;

double rounded(double value, double unit) { return std::round(value / unit) * unit; }
Json milliseconds(double value) { return rounded(value, 0.01); }
Json share(double value) { return rounded(value, 0.0001); }

void addQuantiles(Json& json, const std::string& name, Quantiles& sample) {
  json[name + "_p50_ms"] = milliseconds(sample.at(0.50));
  json[name + "_p95_ms"] = milliseconds(sample.at(0.95));
  json[name + "_p99_ms"] = milliseconds(sample.at(0.99));
}

Json countsJson(CallCounts& counts) {
  Json json = {{"requests", counts.requests},
               {"answered", counts.answered},
               {"refused", counts.refused},
               {"shed", counts.shed},
               {"failed", counts.failed}};
  if (counts.firstToken.count() > 0) addQuantiles(json, "ttft", counts.firstToken);
  if (counts.answer.count() > 0) addQuantiles(json, "answer", counts.answer);
  return json;
}

void addShift(Json& json, const ExperimentResult& result) {
  if (result.shift.empty()) return;
  // Mean over the seconds [from, until) relative to the shift, weighted by requests.
  const auto mean = [&](int from, int until) {
    double sum = 0;
    double requests = 0;
    for (const ShiftSecond& second : result.shift) {
      if (second.second < from || second.second >= until) continue;
      sum += second.firstTokenMean * static_cast<double>(second.requests);
      requests += static_cast<double>(second.requests);
    }
    return requests > 0 ? sum / requests : 0.0;
  };
  constexpr int kSteadySeconds = 15;
  constexpr int kRecoveryBegin = 2;
  constexpr int kRecoveryWindow = 5;
  const double steady = mean(-kSteadySeconds, 0);
  const double recovered = mean(kRecoveryBegin, kRecoveryBegin + kRecoveryWindow);
  json["shift_steady_ttft_mean_ms"] = milliseconds(steady);
  json["shift_first_2s_ttft_mean_ms"] = milliseconds(mean(0, kRecoveryBegin));
  json["shift_2s_to_7s_ttft_mean_ms"] = milliseconds(recovered);
  json["shift_2s_to_7s_over_steady"] = share(steady > 0 ? recovered / steady : 0);
}

}  // namespace

std::string reportLine(ExperimentResult& result, std::optional<double> oracleHitRate) {
  Json json;
  json["scenario"] = result.options.scenario.name;
  json["policy"] = result.options.policy;
  json["seed"] = result.options.seed;
  json["requests"] = result.all.requests;
  json["prefix_hit_rate"] = share(result.reuse.hitRate());
  json["prefix_hit_rate_oracle"] = oracleHitRate.has_value() ? share(*oracleHitRate) : Json();
  addQuantiles(json, "ttft", result.all.firstToken);
  json["wasted_recompute_ratio"] = share(result.reuse.wastedRatio());
  json["refused"] = result.all.refused;
  json["shed"] = result.all.shed;
  json["failed"] = result.all.failed;
  json["control_bytes_per_node_s"] = rounded(result.controlBytesPerNodeSecond, 1);
  json["control_cpu_us_per_request"] = rounded(result.cpuMicrosecondsPerRequest, 0.1);
  json["reused_share_of_prompt"] = share(result.reuse.reusedShare());
  json["imported_tokens"] = result.reuse.imported;
  json["prefilled_tokens"] = result.reuse.prefilled;
  json["engine_load"] = share(result.engineLoad);
  Json classes = Json::object();
  for (std::size_t index = 0; index < base::kPriorityClassCount; ++index) {
    CallCounts& counts = result.classes.at(index);
    if (counts.requests == 0) continue;
    Json entry = countsJson(counts);
    entry["refused_while_lower_ran"] = counts.refusedWhileLowerRan;
    classes[std::string(base::kPriorityClassNames.at(index))] = std::move(entry);
  }
  json["classes"] = std::move(classes);
  Json labels = Json::object();
  for (auto& [label, counts] : result.labels) labels[std::string(label)] = countsJson(counts);
  json["labels"] = std::move(labels);
  Json refusals = Json::object();
  for (const auto& [code, count] : result.refusals) {
    refusals[std::string(base::describe(code).name)] = count;
  }
  json["refusals"] = std::move(refusals);
  addShift(json, result);
  Json violations = Json::object();
  for (const ViolationCount& violation : result.violations) {
    violations[violation.promise] = violation.count;
  }
  json["violations"] = std::move(violations);
  Json settings = Json::object();
  for (const SettingKey& key : settingKeys()) {
    settings[std::string(key.name)] = result.options.scenario.settings.*key.member;
  }
  json["settings"] = std::move(settings);
  return json.dump();
}

namespace {

/// Means over the seeds of one scenario and policy; `violations` is a sum.
struct PolicyRow {
  std::string scenario;
  std::string policy;
  std::size_t seeds = 0;
  double requests = 0;
  double hitRate = 0;
  double wasted = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double longP99 = 0;
  double refused = 0;
  double control = 0;
  double cpu = 0;
  double violations = 0;
};

/// Labels of the completions with long prompts, one per kind of fleet.
constexpr std::array<std::string_view, 2> kLongLabels = {"ruling", "price_read"};

double longP99(const Json& line) {
  for (const std::string_view label : kLongLabels) {
    const auto found = line["labels"].find(std::string(label));
    if (found != line["labels"].end()) return found->value("ttft_p99_ms", 0.0);
  }
  return 0;
}

double violationsOf(const Json& line) {
  double sum = 0;
  for (const auto& [promise, count] : line["violations"].items()) sum += count.get<double>();
  return sum;
}

void addLine(PolicyRow& row, const Json& line) {
  ++row.seeds;
  row.requests += line.value("requests", 0.0);
  row.hitRate += line.value("prefix_hit_rate", 0.0);
  row.wasted += line.value("wasted_recompute_ratio", 0.0);
  row.p50 += line.value("ttft_p50_ms", 0.0);
  row.p95 += line.value("ttft_p95_ms", 0.0);
  row.p99 += line.value("ttft_p99_ms", 0.0);
  row.longP99 += longP99(line);
  row.refused += line.value("refused", 0.0);
  row.control += line.value("control_bytes_per_node_s", 0.0);
  row.cpu += line.value("control_cpu_us_per_request", 0.0);
  row.violations += violationsOf(line);
}

void toMeans(PolicyRow& row) {
  const auto seeds = static_cast<double>(std::max<std::size_t>(1, row.seeds));
  for (double* sum : {&row.requests, &row.hitRate, &row.wasted, &row.p50, &row.p95, &row.p99,
                      &row.longP99, &row.refused, &row.control, &row.cpu}) {
    *sum /= seeds;
  }
}

/// Returns rows ordered by scenario, and within a scenario by first appearance. Counts lines that
/// are not reports in `unreadable`.
std::vector<PolicyRow> readRows(std::istream& lines, std::size_t& unreadable) {
  std::vector<PolicyRow> rows;
  std::string text;
  while (std::getline(lines, text)) {
    const Json line = Json::parse(text, nullptr, false);
    if (line.is_discarded() || !line.is_object() || !line.contains("labels")) {
      ++unreadable;
      continue;
    }
    const std::string scenario = line.value("scenario", "");
    const std::string policy = line.value("policy", "");
    auto row = std::find_if(rows.begin(), rows.end(), [&](const PolicyRow& candidate) {
      return candidate.scenario == scenario && candidate.policy == policy;
    });
    if (row == rows.end()) {
      rows.emplace_back();
      row = std::prev(rows.end());
      row->scenario = scenario;
      row->policy = policy;
    }
    addLine(*row, line);
  }
  for (PolicyRow& row : rows) toMeans(row);
  std::stable_sort(rows.begin(), rows.end(), [](const PolicyRow& left, const PolicyRow& right) {
    return left.scenario < right.scenario;
  });
  return rows;
}

const PolicyRow* oracleOf(const std::vector<PolicyRow>& rows, const std::string& scenario) {
  for (const PolicyRow& row : rows) {
    if (row.scenario == scenario && row.policy == kOraclePolicy) return &row;
  }
  return nullptr;
}

std::string relative(double value, double reference) {
  return reference > 0 ? fmt::format("{:.2f}", value / reference) : "-";
}

}  // namespace

void writeComparison(std::istream& lines, std::ostream& table) {
  std::size_t unreadable = 0;
  const std::vector<PolicyRow> rows = readRows(lines, unreadable);
  std::string scenario;
  for (const PolicyRow& row : rows) {
    if (row.scenario != scenario) {
      scenario = row.scenario;
      table << fmt::format("\n### {}\n\n", scenario)
            << "| policy | seeds | requests | hit rate | of oracle | wasted | TTFT p50 ms | p95 ms "
               "| p99 ms | long p99 ms | of oracle | refused | control B/node/s | CPU us/request | "
               "violations |\n"
            << "|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n";
    }
    const PolicyRow* oracle = oracleOf(rows, scenario);
    const double oracleHit = oracle == nullptr ? 0 : oracle->hitRate;
    const double oracleLong = oracle == nullptr ? 0 : oracle->longP99;
    table << fmt::format(
        "| {} | {} | {:.0f} | {:.3f} | {} | {:.3f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {} | "
        "{:.0f} | {:.0f} | {:.0f} | {:.0f} |\n",
        row.policy, row.seeds, row.requests, row.hitRate, relative(row.hitRate, oracleHit),
        row.wasted, row.p50, row.p95, row.p99, row.longP99, relative(row.longP99, oracleLong),
        row.refused, row.control, row.cpu, row.violations);
  }
  if (unreadable > 0) table << fmt::format("\n{} lines were no reports.\n", unreadable);
}

void writePlotData(std::istream& lines, std::ostream& data) {
  std::size_t unreadable = 0;
  std::string scenario;
  for (const PolicyRow& row : readRows(lines, unreadable)) {
    if (row.scenario != scenario) {
      if (!scenario.empty()) data << "\n\n";
      scenario = row.scenario;
      data << "# scenario " << scenario << "\n# policy hit_rate wasted long_p99_ms\n";
    }
    data << fmt::format("{} {:.4f} {:.4f} {:.1f}\n", row.policy, row.hitRate, row.wasted,
                        row.longP99);
  }
}

}  // namespace covewing::bench
