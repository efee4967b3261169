/// \file
/// covewingctl, the command-line client for operators. See docs/operators/covewingctl.md.
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>

#include "live/settings.h"
#include "tools/covewingctl_client.h"
#include "tools/covewingctl_command_line.h"
#include "tools/covewingctl_output.h"
#include "tools/covewingctl_requests.h"

namespace covewing::tools {

namespace {

constexpr std::string_view kProgramVersion = "covewingctl 0.1";
constexpr const char* kKeyVariable = "COVEWING_OPERATOR_KEY";
constexpr std::chrono::milliseconds kPauseBetweenRounds{500};
constexpr int kIdentifierWidth = 16;

int usage(const std::string& errorText) {
  std::cerr << "covewingctl: " << errorText << "\nTry covewingctl --help.\n";
  return static_cast<int>(ExitStatus::kUsage);
}

std::optional<std::string> readAll(const std::string& file) {
  if (file == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>());
  }
  std::ifstream input(file, std::ios::binary);
  if (!input) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>());
}

/// Returns a random operation identifier, which is unique without coordination.
std::string newOperationId() {
  std::random_device device;
  std::ostringstream text;
  text << std::hex << std::setfill('0');
  for (int word = 0; word < 2; ++word) {
    const std::uint64_t number = (std::uint64_t{device()} << 32U) | device();
    text << std::setw(kIdentifierWidth) << number;
  }
  return text.str();
}

/// Fills in the values that were not given: the key from the key file or the environment, the
/// operator name from the environment, and a new operation identifier. Returns false with
/// `errorText` set if the key file cannot be read or no node was given.
bool fillInDefaults(CommandLine& line, std::string& errorText) {
  if (line.key.empty() && !line.keyFile.empty()) {
    const auto content = readAll(line.keyFile);
    if (!content) {
      errorText = line.keyFile + ": cannot be read";
      return false;
    }
    line.key = content->substr(0, content->find_first_of("\r\n"));
  }
  const char* variable = std::getenv(kKeyVariable);
  if (line.key.empty() && variable != nullptr) line.key = variable;
  if (line.operatorName.empty()) {
    const char* login = std::getenv("LOGNAME");
    line.operatorName = login == nullptr ? "unknown" : login;
  }
  if (line.operationId.empty() && isMutation(line.verb->id)) line.operationId = newOperationId();
  if (line.nodes.empty()) {
    errorText = "--node HOST:PORT is needed";
    return false;
  }
  return true;
}

/// Sets the version to replace, for a change without --if-version, to the version that the node
/// currently has.
ApiResult fetchCurrentVersion(const ClientOptions& options, CommandLine& line) {
  const CommandLine lookUp = [&line] {
    CommandLine copy = line;
    const auto verbs = verbTable();
    for (const Verb& verb : verbs) {
      if (verb.id == VerbId::kTemplateGet) copy.verb = &verb;
    }
    copy.arguments = {templateName(line)};
    return copy;
  }();
  std::string errorText;
  const auto call = makeCall(lookUp, "", errorText);
  ApiResult result = callNodes(options, *call);
  if (result.status != ExitStatus::kOk) return result;
  const auto response = nlohmann::json::parse(result.body, nullptr, false);
  if (response.is_object() && response.contains("version") &&
      response["version"].is_number_unsigned()) {
    line.ifVersion = response["version"].get<std::uint64_t>();
  }
  return result;
}

int report(const CommandLine& line, const ApiResult& result) {
  switch (result.status) {
    case ExitStatus::kOk:
      if (line.json) {
        std::cout << result.body << '\n';
      } else {
        printResponse(line.verb->id, result.body, std::cout);
      }
      break;
    case ExitStatus::kRefused:
      if (line.json) std::cout << result.body << '\n';
      printRefusal(result.body, std::cerr);
      break;
    case ExitStatus::kUnknownOutcome:
      if (line.json && !result.body.empty()) std::cout << result.body << '\n';
      std::cerr << "covewingctl: the outcome is unknown (" << result.detail
                << "); repeat the call with --operation " << line.operationId << '\n';
      break;
    default:
      if (line.json && !result.body.empty()) std::cout << result.body << '\n';
      std::cerr << "covewingctl: no node answered; nothing was changed (" << result.detail << ")\n";
      break;
  }
  return static_cast<int>(result.status);
}

/// Queries the nodes in turn until one has a trace of the request, because only the node that
/// served the request stores its trace.
ApiResult explain(const ClientOptions& options, const ApiCall& call) {
  ApiResult result;
  for (const auto& node : options.nodes) {
    ClientOptions single = options;
    single.nodes = {node};
    result = callNodes(single, call);
    if (result.status == ExitStatus::kOk) break;
  }
  return result;
}

/// Validates the settings file with the checks that a node makes at start-up.
int checkSettings(const CommandLine& line, const std::string& file, const std::string& text) {
  std::vector<live::SettingsMistake> mistakes;
  const auto settings = live::loadSettings(live::SettingsSource{file, text}, {}, mistakes);
  if (line.json) {
    nlohmann::json list = nlohmann::json::array();
    for (const live::SettingsMistake& mistake : mistakes) {
      list.push_back({{"file", mistake.file},
                      {"line", mistake.line},
                      {"key", mistake.key},
                      {"problem", mistake.problem}});
    }
    std::cout << nlohmann::json{{"valid", settings.has_value()}, {"mistakes", list}} << '\n';
  } else if (settings) {
    std::cout << file << ": ok\n";
  }
  for (const live::SettingsMistake& mistake : mistakes) std::cerr << toText(mistake) << '\n';
  return static_cast<int>(settings ? ExitStatus::kOk : ExitStatus::kRefused);
}

int run(CommandLine line) {
  std::string errorText;
  std::string document;
  const std::string file = fileArgument(line);
  if (!file.empty()) {
    const auto content = readAll(file);
    if (!content) return usage(file + ": cannot be read");
    document = *content;
  }
  if (line.verb->id == VerbId::kCheckSettings) return checkSettings(line, file, document);
  if (!fillInDefaults(line, errorText)) return usage(errorText);
  const ClientOptions options{.nodes = line.nodes,
                              .key = line.key,
                              .timeout = line.timeout,
                              .rounds = line.rounds,
                              .pause = kPauseBetweenRounds};
  const VerbId verb = line.verb->id;
  const bool needsVersion = verb == VerbId::kTemplateChange || verb == VerbId::kTemplateRetire;
  if (needsVersion && !line.ifVersion) {
    const ApiResult result = fetchCurrentVersion(options, line);
    if (result.status != ExitStatus::kOk) return report(line, result);
  }
  const auto call = makeCall(line, document, errorText);
  if (!call) return usage(errorText);
  if (verb == VerbId::kExplain) return report(line, explain(options, *call));
  return report(line, callNodes(options, *call));
}

int main(int argc, char* argv[]) {
  std::string errorText;
  auto line = parseCommandLine(argc, argv, errorText);
  if (!line) return usage(errorText);
  if (line->showVersion) {
    std::cout << kProgramVersion << '\n';
    return static_cast<int>(ExitStatus::kOk);
  }
  if (line->help) {
    std::cout << helpPage(line->verb);
    return static_cast<int>(ExitStatus::kOk);
  }
  return run(std::move(*line));
}

}  // namespace

}  // namespace covewing::tools

int main(int argc, char* argv[]) { return covewing::tools::main(argc, argv); }
