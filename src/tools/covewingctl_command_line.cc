#include "tools/covewingctl_command_line.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace covewing::tools {

namespace {

/// Spelling and help text of one option.
struct OptionSpec {
  Option option;
  const char* name;
  /// Placeholder of the value in the help text; null for a flag.
  const char* value;
  const char* help;
  /// Accepted by every verb.
  bool common;
};

constexpr OptionSpec kOptionTable[] = {
    {Option::kNode, "node", "HOST:PORT",
     "operator address of a node (an IPv4 number); several are tried in turn", true},
    {Option::kKey, "key", "KEY",
     "operator key; else --key-file, else the environment's COVEWING_OPERATOR_KEY", true},
    {Option::kKeyFile, "key-file", "FILE", "file whose first line is the operator key", true},
    {Option::kJson, "json", nullptr, "print the node's JSON answer instead of a table", true},
    {Option::kTimeout, "timeout", "SECONDS", "bound of each try (default 10)", true},
    {Option::kRounds, "rounds", "N", "how often all nodes are tried (default 3)", true},
    {Option::kOperator, "operator", "NAME",
     "who changes, for the history (default: the login name)", true},
    {Option::kOperation, "operation", "ID",
     "identifier of the change; give the one of a lost call to repeat it safely", true},
    {Option::kHelp, "help", nullptr, "print the help page", true},
    {Option::kVersion, "version", nullptr, "print the version", true},
    {Option::kIfVersion, "if-version", "N", "change only if the current version is N", false},
    {Option::kRetired, "retired", nullptr, "list retired templates too", false},
    {Option::kEngine, "engine", "NAME", "an engine that the order is for; may be repeated", false},
    {Option::kZone, "zone", "ZONE", "choose engines of this zone only", false},
    {Option::kCount, "count", "N", "choose N engines", false},
    {Option::kAdapter, "adapter", "NAME", "an adapter to load; may be repeated", false},
    {Option::kParallel, "parallel", "N",
     "most loads of the order at once, within the weight store's limit", false},
    {Option::kMinimumServing, "minimum-serving", "N",
     "engines of the model that must go on serving at every moment", false},
    {Option::kKeepOld, "keep-old", nullptr, "do not unload the old version", false},
};

constexpr Option kChangeOptions[] = {Option::kIfVersion};
constexpr Option kListOptions[] = {Option::kRetired};
constexpr Option kLoadOptions[] = {Option::kEngine, Option::kZone, Option::kCount, Option::kAdapter,
                                   Option::kParallel};
constexpr Option kSwapOptions[] = {Option::kEngine,   Option::kZone,           Option::kAdapter,
                                   Option::kParallel, Option::kMinimumServing, Option::kKeepOld};
constexpr Option kRoleOptions[] = {Option::kEngine, Option::kZone, Option::kCount,
                                   Option::kMinimumServing};

constexpr Verb kVerbTable[] = {
    {VerbId::kTemplateCreate,
     "template create",
     "[NAME] FILE",
     1,
     2,
     "create a tenant's template",
     "FILE is the template's JSON document, or - for standard input. NAME is the file's name\n"
     "without its extension where it is left out. Plain keys in the document's \"keys\" are\n"
     "replaced by their digests before they leave this machine.",
     {}},
    {VerbId::kTemplateChange, "template change", "[NAME] FILE", 1, 2,
     "replace a template's document",
     "Without --if-version, the version that the node holds at the moment of the call is\n"
     "replaced. With it, a template changed by someone else meanwhile is left alone, and the\n"
     "answer names the current version and who holds it.",
     kChangeOptions},
    {VerbId::kTemplateRetire, "template retire", "NAME", 1, 1, "retire a template",
     "Requests of a retired tenant are refused everywhere. The history stays.", kChangeOptions},
    {VerbId::kTemplateGet,
     "template get",
     "NAME",
     1,
     1,
     "show a template and its expansion",
     "",
     {}},
    {VerbId::kTemplateList, "template list", "", 0, 0, "list the templates", "", kListOptions},
    {VerbId::kTemplateHistory,
     "template history",
     "NAME",
     1,
     1,
     "show a template's past versions and who made them",
     "",
     {}},
    {VerbId::kTemplateExpand,
     "template expand",
     "[NAME] FILE",
     1,
     2,
     "check a document and show its expansion without saving it",
     "",
     {}},
    {VerbId::kOrderLoad, "order load", "MODEL VERSION", 2, 2, "load weights onto engines",
     "The engines are named with --engine, or chosen with --count and --zone: those of the zone\n"
     "that do not have the version yet, serving engines first.",
     kLoadOptions},
    {VerbId::kOrderSwap, "order swap", "MODEL VERSION", 2, 2,
     "roll a model's engines over to another weights version",
     "Each engine loads the new version, reports it as loaded, and only then unloads the old\n"
     "one. The first engine is the canary: while it has not finished, no other engine is\n"
     "touched. When an engine fails, the order stops and every engine keeps what it serves.\n"
     "Without --adapter, the adapters that the engines have with the model are loaded too.",
     kSwapOptions},
    {VerbId::kOrderRole, "order role", "serving|standby", 1, 1, "change the role of engines",
     "An engine that goes to standby finishes its requests first.", kRoleOptions},
    {VerbId::kOrderList, "order list", "", 0, 0, "list the orders", "", {}},
    {VerbId::kOrderShow, "order show", "ID", 1, 1, "show an order, step by step", "", {}},
    {VerbId::kOrderCancel,
     "order cancel",
     "ID",
     1,
     1,
     "cancel what an order has not started",
     "Steps under way are finished; nothing is rolled back.",
     {}},
    {VerbId::kFleet, "fleet", "", 0, 0, "show the engines as the node knows them", "", {}},
    {VerbId::kNode,
     "node",
     "",
     0,
     0,
     "show the node: members, configuration, lease, open requests",
     "",
     {}},
    {VerbId::kExplain,
     "explain",
     "REQUEST-ID",
     1,
     1,
     "show how a request was decided, step by step",
     "Asks every node given, as each keeps the trace of its own last requests.",
     {}},
    {VerbId::kCheckSettings,
     "check-settings",
     "FILE",
     1,
     1,
     "check a node's settings file, without contacting a node",
     "Prints every mistake with file, line, key and what is allowed.",
     {}},
};

constexpr int kFirstOptionValue = 256;
constexpr std::chrono::seconds kMaximumTimeout{600};
constexpr std::uint64_t kMaximumRounds = 100;
constexpr std::size_t kHelpColumn = 28;

const OptionSpec& specOf(Option option) {
  return *std::ranges::find_if(kOptionTable,
                               [option](const OptionSpec& line) { return line.option == option; });
}

std::vector<option> longOptions() {
  std::vector<option> options;
  for (const OptionSpec& line : kOptionTable) {
    const int argument = line.value == nullptr ? no_argument : required_argument;
    options.push_back(
        {line.name, argument, nullptr, kFirstOptionValue + static_cast<int>(line.option)});
  }
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

bool acceptsOption(const Verb& verb, Option option) {
  return specOf(option).common || std::ranges::find(verb.options, option) != verb.options.end();
}

/// Stores parsed options in the command line. `read` returns false, with the error text set, if the
/// value of an option is invalid.
class OptionReader {
 public:
  OptionReader(CommandLine& commandLine, std::string& errorText)
      : line_(commandLine), errorText_(errorText) {}

  bool read(Option option, const char* value) {
    switch (option) {
      case Option::kNode:
        return readNode(value);
      case Option::kKey:
        line_.key = value;
        return true;
      case Option::kKeyFile:
        line_.keyFile = value;
        return true;
      case Option::kJson:
        line_.json = true;
        return true;
      case Option::kTimeout:
        return readTimeout(value);
      case Option::kRounds:
        return readRounds(value);
      case Option::kOperator:
        line_.operatorName = value;
        return true;
      case Option::kOperation:
        line_.operationId = value;
        return true;
      case Option::kHelp:
        line_.help = true;
        return true;
      case Option::kVersion:
        line_.showVersion = true;
        return true;
      case Option::kIfVersion:
        return readNumber(option, value, line_.ifVersion);
      case Option::kRetired:
        line_.retired = true;
        return true;
      case Option::kEngine:
        line_.engines.emplace_back(value);
        return true;
      case Option::kZone:
        line_.zone = value;
        return true;
      case Option::kCount:
        return readNumber(option, value, line_.count);
      case Option::kAdapter:
        line_.adapters.emplace_back(value);
        return true;
      case Option::kParallel:
        return readNumber(option, value, line_.parallel);
      case Option::kMinimumServing:
        return readNumber(option, value, line_.minimumServing);
      case Option::kKeepOld:
        line_.keepOld = true;
        return true;
    }
    return false;
  }

 private:
  bool refuse(Option option, std::string_view problem) {
    errorText_ = std::string("--") + specOf(option).name + ": " + std::string(problem);
    return false;
  }

  bool readNode(const char* value) {
    const auto endpoint = base::parseEndpoint(value);
    if (!endpoint) return refuse(Option::kNode, "must be an IPv4 number and port, a.b.c.d:port");
    line_.nodes.push_back(*endpoint);
    return true;
  }

  bool readTimeout(const char* value) {
    const auto seconds = parseNumber(value);
    if (!seconds || *seconds == 0 ||
        *seconds > static_cast<std::uint64_t>(kMaximumTimeout.count())) {
      return refuse(Option::kTimeout, "must be a whole number of seconds from 1 to 600");
    }
    line_.timeout = std::chrono::seconds(*seconds);
    return true;
  }

  bool readRounds(const char* value) {
    const auto rounds = parseNumber(value);
    if (!rounds || *rounds == 0 || *rounds > kMaximumRounds) {
      return refuse(Option::kRounds, "must be a whole number from 1 to 100");
    }
    line_.rounds = static_cast<unsigned>(*rounds);
    return true;
  }

  bool readNumber(Option option, const char* value, std::optional<std::uint64_t>& target) {
    target = parseNumber(value);
    return target.has_value() || refuse(option, "must be a whole number");
  }

  CommandLine& line_;
  std::string& errorText_;
};

const Verb* findVerb(std::string_view words) {
  const auto verb =
      std::ranges::find_if(kVerbTable, [words](const Verb& one) { return one.words == words; });
  return verb == std::end(kVerbTable) ? nullptr : &*verb;
}

/// Removes the verb's words from the front of the positional arguments and returns the verb, or
/// null if there is no such verb.
const Verb* extractVerb(std::vector<std::string>& arguments) {
  for (const std::size_t wordCount : {std::size_t{2}, std::size_t{1}}) {
    if (arguments.size() < wordCount) continue;
    const std::string words = wordCount == 2 ? arguments[0] + " " + arguments[1] : arguments[0];
    const Verb* verb = findVerb(words);
    if (verb == nullptr) continue;
    arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(wordCount));
    return verb;
  }
  return nullptr;
}

bool checkArguments(const CommandLine& line, const std::vector<Option>& used,
                    std::string& errorText) {
  const Verb& verb = *line.verb;
  for (const Option option : used) {
    if (acceptsOption(verb, option)) continue;
    errorText = std::string("--") + specOf(option).name + ": not an option of \"" +
                std::string(verb.words) + "\"";
    return false;
  }
  const std::size_t count = line.arguments.size();
  if (count < verb.minimumArguments || count > verb.maximumArguments) {
    errorText = "usage: covewingctl " + std::string(verb.words) + " " + std::string(verb.arguments);
    return false;
  }
  return true;
}

std::string optionHelp(const OptionSpec& line) {
  std::string text = std::string("  --") + line.name;
  if (line.value != nullptr) text += std::string(" ") + line.value;
  text.resize(std::max(text.size() + 1, kHelpColumn), ' ');
  return text + line.help + "\n";
}

std::string optionsHelp(const Verb* verb) {
  std::string text;
  if (verb != nullptr && !verb->options.empty()) {
    text += "\nOptions:\n";
    for (const Option option : verb->options) text += optionHelp(specOf(option));
  }
  text += "\nCommon options:\n";
  for (const OptionSpec& line : kOptionTable) {
    if (line.common) text += optionHelp(line);
  }
  return text;
}

std::string programHelp() {
  std::string text =
      "covewingctl drives a covewing fleet: tenant templates and orders to engines.\n\n"
      "Usage: covewingctl VERB [ARGUMENTS] --node HOST:PORT [OPTIONS]\n\nVerbs:\n";
  for (const Verb& verb : kVerbTable) {
    std::string line = "  " + std::string(verb.words);
    if (!verb.arguments.empty()) line += " " + std::string(verb.arguments);
    line.resize(std::max(line.size() + 1, std::size_t{32}), ' ');
    text += line + std::string(verb.summary) + "\n";
  }
  text += optionsHelp(nullptr);
  text +=
      "\nExit status: 0 done; 1 refused by the node; 2 wrong usage; 3 no node could be reached "
      "and\n"
      "nothing was changed; 4 the outcome of a change is unknown: repeat it with the same\n"
      "--operation.\n\n\"covewingctl VERB --help\" prints the page of one verb.\n";
  return text;
}

}  // namespace

std::span<const Verb> verbTable() { return kVerbTable; }

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (text.empty() || result.ec != std::errc{} || result.ptr != end) return std::nullopt;
  return value;
}

std::optional<CommandLine> parseCommandLine(int argc, char* const argv[], std::string& errorText) {
  CommandLine line;
  OptionReader reader(line, errorText);
  std::vector<Option> used;
  const std::vector<option> options = longOptions();
  optind = 1;
  opterr = 0;
  for (;;) {
    const int value = getopt_long(argc, argv, "h", options.data(), nullptr);
    if (value == -1) break;
    if (value == 'h') {
      line.help = true;
      continue;
    }
    if (value < kFirstOptionValue) {
      errorText = std::string(argv[optind - 1]) + ": unknown option, or its value is missing";
      return std::nullopt;
    }
    const auto option = static_cast<Option>(value - kFirstOptionValue);
    used.push_back(option);
    if (!reader.read(option, optarg)) return std::nullopt;
  }
  line.arguments.assign(argv + optind, argv + argc);
  const bool nothingGiven = line.arguments.empty();
  line.verb = extractVerb(line.arguments);
  if (line.help || line.showVersion) return line;
  if (line.verb == nullptr) {
    errorText = nothingGiven ? "no verb given" : "no such verb: " + line.arguments.front();
    return std::nullopt;
  }
  if (!checkArguments(line, used, errorText)) return std::nullopt;
  return line;
}

std::string helpPage(const Verb* verb) {
  if (verb == nullptr) return programHelp();
  std::string text = "Usage: covewingctl " + std::string(verb->words);
  if (!verb->arguments.empty()) text += " " + std::string(verb->arguments);
  text += " [OPTIONS]\n\n" + std::string(verb->summary) + "\n";
  if (!verb->details.empty()) text += "\n" + std::string(verb->details) + "\n";
  return text + optionsHelp(verb);
}

}  // namespace covewing::tools
