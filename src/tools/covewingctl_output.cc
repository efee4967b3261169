#include "tools/covewingctl_output.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>
#include <vector>

namespace covewing::tools {

namespace {

using Json = nlohmann::json;

/// A column of a table: its heading and the JSON field that it shows.
struct Column {
  const char* heading;
  const char* field;
};

/// Returns the text of a value for a table cell: a string without quotes, a list separated by
/// commas, and "-" for null or an empty value.
std::string cellOf(const Json& value) {
  if (value.is_null()) return "-";
  if (value.is_string()) {
    const auto& text = value.get_ref<const std::string&>();
    return text.empty() ? "-" : text;
  }
  if (!value.is_array()) return value.dump(-1, ' ', false, Json::error_handler_t::replace);
  std::string text;
  for (const Json& element : value) {
    if (!text.empty()) text += ",";
    text += cellOf(element);
  }
  return text.empty() ? "-" : text;
}

std::string fieldOf(const Json& object, const char* name) {
  if (!object.is_object() || !object.contains(name)) return "-";
  return cellOf(object[name]);
}

void printRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths,
              std::ostream& output) {
  std::string line;
  for (std::size_t index = 0; index < cells.size(); ++index) {
    std::string cell = cells[index];
    if (index + 1 < cells.size()) cell.resize(widths[index] + 2, ' ');
    line += cell;
  }
  output << line << '\n';
}

std::vector<std::string> cellsOf(const Json& row, const std::vector<Column>& columns) {
  std::vector<std::string> cells;
  cells.reserve(columns.size());
  for (const Column& column : columns) cells.push_back(fieldOf(row, column.field));
  return cells;
}

void printTable(const Json& rows, const std::vector<Column>& columns, std::ostream& output) {
  std::vector<std::vector<std::string>> lines;
  lines.reserve(rows.size() + 1);
  std::vector<std::string> heading;
  heading.reserve(columns.size());
  for (const Column& column : columns) heading.emplace_back(column.heading);
  lines.push_back(std::move(heading));
  for (const Json& row : rows) lines.push_back(cellsOf(row, columns));
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const auto& line : lines) {
    for (std::size_t index = 0; index < line.size(); ++index) {
      widths[index] = std::max(widths[index], line[index].size());
    }
  }
  for (const auto& line : lines) printRow(line, widths, output);
}

/// Prints each field on its own line, with nested objects and lists of objects indented below it.
void printFields(const Json& object, std::size_t indent, std::ostream& output) {
  const std::string margin(indent, ' ');
  for (const auto& field : object.items()) {
    const Json& value = field.value();
    const bool hasObjects = value.is_array() && !value.empty() && value.front().is_object();
    if (value.is_object()) {
      output << margin << field.key() << ":\n";
      printFields(value, indent + 2, output);
    } else if (hasObjects) {
      output << margin << field.key() << ":\n";
      for (const Json& element : value) {
        output << margin << "- \n";
        printFields(element, indent + 4, output);
      }
    } else {
      output << margin << field.key() << ": " << cellOf(value) << '\n';
    }
  }
}

void printTemplates(const Json& response, std::ostream& output) {
  printTable(response.value("templates", Json::array()),
             {{"NAME", "name"},
              {"VERSION", "version"},
              {"KIND", "kind"},
              {"BASE", "base"},
              {"STATE", "state"},
              {"BY", "author"}},
             output);
  if (!response.value("confirmed", true)) {
    output << "The node cannot confirm that this is current.\n";
  }
}

void printHistory(const Json& response, std::ostream& output) {
  printTable(
      response.value("versions", Json::array()),
      {{"VERSION", "version"}, {"STATE", "state"}, {"BY", "author"}, {"OPERATION", "operation"}},
      output);
}

void printOrders(const Json& response, std::ostream& output) {
  printTable(response.value("orders", Json::array()),
             {{"ID", "id"},
              {"KIND", "kind"},
              {"MODEL", "model"},
              {"VERSION", "version"},
              {"ROLE", "role"},
              {"STATE", "state"},
              {"DONE", "done_steps"},
              {"STEPS", "steps_total"},
              {"BY", "author"},
              {"DETAIL", "detail"}},
             output);
}

void printOrder(const Json& response, std::ostream& output) {
  Json summary = response;
  summary.erase("steps");
  printFields(summary, 0, output);
  output << '\n';
  printTable(response.value("steps", Json::array()),
             {{"ENGINE", "engine"},
              {"STATE", "state"},
              {"MS", "elapsed_ms"},
              {"BY", "executor"},
              {"DETAIL", "detail"}},
             output);
}

/// Returns the loaded weights as text, such as "rules@3(+2) prices@1": model, version and number of
/// adapters.
std::string weightsText(const Json& weights) {
  std::string text;
  for (const Json& loaded : weights) {
    if (!text.empty()) text += ' ';
    text += fieldOf(loaded, "model") + "@" + fieldOf(loaded, "version");
    const std::size_t adapters = loaded.value("adapters", Json::array()).size();
    if (adapters > 0) text += "(+" + std::to_string(adapters) + ")";
  }
  return text;
}

void printFleet(const Json& response, std::ostream& output) {
  Json rows = response.value("engines", Json::array());
  for (Json& row : rows) {
    row["weights"] = weightsText(row.value("weights", Json::array()));
    // Only the engine's home nodes know its load.
    if (row.contains("load")) row.update(Json(row["load"]));
  }
  printTable(rows,
             {{"ENGINE", "name"},
              {"ZONE", "zone"},
              {"STATE", "state"},
              {"ROLE", "role"},
              {"WEIGHTS", "weights"},
              {"RUNNING", "running"},
              {"WAITING", "waiting"},
              {"CACHED", "cached_blocks"},
              {"HOMES", "homes"}},
             output);
}

void printNode(const Json& response, std::ostream& output) {
  Json summary = response;
  summary.erase("members");
  printFields(summary, 0, output);
  output << '\n';
  printTable(response.value("members", Json::array()),
             {{"MEMBER", "name"},
              {"ZONE", "zone"},
              {"STATE", "state"},
              {"DRAINING", "draining"},
              {"ENDPOINT", "endpoint"}},
             output);
}

void printExplanation(const Json& response, std::ostream& output) {
  Json summary = response;
  summary.erase("decisions");
  summary.erase("attempts");
  printFields(summary, 0, output);
  for (const Json& decision : response.value("decisions", Json::array())) {
    output << "\nat " << fieldOf(decision, "at_ms") << " ms: policy " << fieldOf(decision, "policy")
           << " chose " << fieldOf(decision, "chosen") << '\n';
    printTable(decision.value("candidates", Json::array()),
               {{"CANDIDATE", "engine"},
                {"MATCHED BLOCKS", "matched_blocks"},
                {"DOUBTFUL", "doubtful"},
                {"EXPECTED MS", "expected_first_token_ms"},
                {"NOTE", "note"}},
               output);
  }
  output << '\n';
  printTable(response.value("attempts", Json::array()),
             {{"ATTEMPT", "number"},
              {"BACK END", "back_end"},
              {"STARTED MS", "started_ms"},
              {"FIRST TOKEN MS", "first_token_ms"},
              {"ENDED MS", "ended_ms"},
              {"CACHED TOKENS", "cached_tokens"},
              {"FAILURE", "failure"}},
             output);
}

}  // namespace

void printResponse(VerbId verb, const std::string& body, std::ostream& output) {
  const Json response = Json::parse(body, nullptr, false);
  if (!response.is_object()) {
    output << body << '\n';
    return;
  }
  switch (verb) {
    case VerbId::kTemplateList:
      return printTemplates(response, output);
    case VerbId::kTemplateHistory:
      return printHistory(response, output);
    case VerbId::kOrderList:
      return printOrders(response, output);
    case VerbId::kOrderLoad:
    case VerbId::kOrderSwap:
    case VerbId::kOrderRole:
    case VerbId::kOrderShow:
    case VerbId::kOrderCancel:
      return printOrder(response, output);
    case VerbId::kFleet:
      return printFleet(response, output);
    case VerbId::kNode:
      return printNode(response, output);
    case VerbId::kExplain:
      return printExplanation(response, output);
    default:
      return printFields(response, 0, output);
  }
}

void printRefusal(const std::string& body, std::ostream& output) {
  const Json response = Json::parse(body, nullptr, false);
  if (!response.is_object()) {
    output << "covewingctl: refused: " << body << '\n';
    return;
  }
  output << "covewingctl: refused: " << fieldOf(response, "code") << ' '
         << fieldOf(response, "name") << ": " << fieldOf(response, "detail") << '\n';
  for (const Json& mistake : response.value("mistakes", Json::array())) {
    output << "  " << fieldOf(mistake, "field") << ": " << fieldOf(mistake, "problem") << '\n';
  }
  if (response.contains("current")) {
    const Json& current = response["current"];
    output << "  in force: version " << fieldOf(current, "version") << ", by "
           << fieldOf(current, "holder") << '\n';
  }
}

}  // namespace covewing::tools
