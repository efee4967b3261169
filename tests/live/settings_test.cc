#include "live/settings.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "live/command_line.h"

namespace covewing::live {

namespace {

constexpr std::string_view kCompleteFile = R"([node]
name = "north-1"
zone = "a"
region = "south"
[listen]
caller = "127.0.0.1:1"
operator = "127.0.0.1:2"
peer = "127.0.0.1:3"
metrics = "127.0.0.1:4"
[cluster]
seeds = ["127.0.0.1:5"]
[platform]
table = "127.0.0.1:6"
objects = "127.0.0.1:7"
machines = "127.0.0.1:8"
[operator]
key = "0123456789abcdef"
)";

struct Loaded {
  std::optional<Settings> settings;
  std::vector<SettingsMistake> mistakes;

  bool has(std::uint32_t line, std::string_view key) const {
    return std::ranges::any_of(mistakes, [&](const SettingsMistake& mistake) {
      return mistake.file == "node.toml" && mistake.line == line && mistake.key == key;
    });
  }
};

Loaded load(const std::string& text, const std::vector<SettingOverride>& overrides = {}) {
  Loaded loaded;
  loaded.settings = loadSettings(SettingsSource{"node.toml", text}, overrides, loaded.mistakes);
  return loaded;
}

std::optional<CommandLine> parse(std::vector<std::string> arguments, std::string& problem) {
  arguments.insert(arguments.begin(), "covewingd");
  std::vector<char*> pointers;
  for (auto& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  return parseCommandLine(static_cast<int>(arguments.size()), pointers.data(), problem);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SettingsTest)

BOOST_AUTO_TEST_CASE(CompleteFileWithDefaults) {
  const auto loaded = load(std::string{kCompleteFile});
  BOOST_REQUIRE(loaded.settings.has_value());
  BOOST_TEST(loaded.settings->name == "north-1");
  BOOST_TEST(loaded.settings->peerEndpoint.port == 3);
  BOOST_TEST(loaded.settings->seeds.size() == 1U);
  BOOST_TEST(loaded.settings->openRequests == 10'000U);
  BOOST_TEST((loaded.settings->platformTimeout == std::chrono::seconds(2)));
}

BOOST_AUTO_TEST_CASE(EveryMistakeIsReportedWithItsLine) {
  const auto loaded = load(R"([node]
name = "has spaces"
zone = 7
colour = "red"
[listen]
caller = "localhost:80"
[limits]
open_requests = 0
body_bytes = "many"
[nodes]
name = "x"
)");
  BOOST_TEST(!loaded.settings.has_value());
  BOOST_TEST(loaded.has(2, "node.name"));
  BOOST_TEST(loaded.has(3, "node.zone"));
  BOOST_TEST(loaded.has(4, "node.colour"));
  BOOST_TEST(loaded.has(6, "listen.caller"));
  BOOST_TEST(loaded.has(8, "limits.open_requests"));
  BOOST_TEST(loaded.has(9, "limits.body_bytes"));
  BOOST_TEST(loaded.has(10, "nodes"));
  BOOST_TEST(loaded.has(0, "operator.key"));
  // Each is reported once: the 7 above with their lines, and 8 missing settings.
  BOOST_TEST(loaded.mistakes.size() == 15U);
}

BOOST_AUTO_TEST_CASE(MistakeNamesWhatIsAllowed) {
  const auto loaded = load(std::string{kCompleteFile} + "[limits]\nstall_seconds = 0\n");
  BOOST_REQUIRE(loaded.mistakes.size() == 1U);
  BOOST_TEST(toText(loaded.mistakes.front()) ==
             "node.toml:19: limits.stall_seconds: must be a value of type integer, 1 to 3600");
}

BOOST_AUTO_TEST_CASE(BrokenTomlIsOneMistakeWithItsLine) {
  const auto loaded = load("[node]\nname = \n");
  BOOST_TEST(!loaded.settings.has_value());
  BOOST_TEST(loaded.has(2, ""));
}

BOOST_AUTO_TEST_CASE(FlagsOverrideTheFile) {
  std::string problem;
  const auto line =
      parse({"--settings", "node.toml", "--node-name=south-2", "--limits-open-requests", "5",
             "--cluster-seeds", "127.0.0.1:9,127.0.0.1:10"},
            problem);
  BOOST_REQUIRE(line.has_value());
  BOOST_TEST(line->settingsFile == "node.toml");
  const auto loaded = load(std::string{kCompleteFile}, line->overrides);
  BOOST_REQUIRE(loaded.settings.has_value());
  BOOST_TEST(loaded.settings->name == "south-2");
  BOOST_TEST(loaded.settings->openRequests == 5U);
  BOOST_TEST(loaded.settings->seeds.size() == 2U);
}

BOOST_AUTO_TEST_CASE(WrongFlagsAreRefused) {
  std::string problem;
  BOOST_TEST(!parse({"--nonsense", "1"}, problem).has_value());
  BOOST_TEST(problem == "unknown flag --nonsense");
  BOOST_TEST(!parse({"--settings"}, problem).has_value());
  BOOST_TEST(problem == "value missing for --settings");
  BOOST_TEST(!parse({"stray"}, problem).has_value());
  const auto loaded = load(std::string{kCompleteFile}, {{"limits.open_requests", "5x"}});
  BOOST_REQUIRE(loaded.mistakes.size() == 1U);
  BOOST_TEST(loaded.mistakes.front().file == "command line");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
