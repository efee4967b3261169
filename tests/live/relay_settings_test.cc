#include "live/relay_settings.h"

#include <boost/test/unit_test.hpp>

namespace covewing::live {

namespace {

constexpr std::string_view kComplete = R"(
[node]
name = "n1"
zone = "z"
region = "r"
[listen]
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
peers = "10.0.0.1:82"
[cluster]
seeds = ["10.0.0.1:83"]
[table_service]
address = "10.0.0.9:84"
[bounds]
grace_s = 8
revocation_ms = 5000
retry_ratio = 0.2
fencing_enforced = false
)";

std::optional<RelaySettings> load(std::string text, std::vector<SettingsMistake>& mistakes) {
  return loadRelaySettings({"node.toml", std::move(text)}, mistakes);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RelaySettingsTest)

BOOST_AUTO_TEST_CASE(CompleteFileIsAccepted) {
  std::vector<SettingsMistake> mistakes;
  const auto settings = load(std::string{kComplete}, mistakes);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->name == "n1");
  BOOST_TEST((settings->grace == std::chrono::seconds(8)));
  BOOST_TEST((settings->revocation == std::chrono::seconds(5)));
  BOOST_TEST(settings->retryRatio == 0.2);
  BOOST_TEST(!settings->fencingEnforced);
  BOOST_TEST((settings->lease == std::chrono::seconds(3)));
  BOOST_TEST(settings->seeds.size() == 1U);
}

BOOST_AUTO_TEST_CASE(EveryMistakeIsReportedWithItsLine) {
  std::vector<SettingsMistake> mistakes;
  const auto settings =
      load("[node]\nname = \"\"\nzone = \"z\"\n[bounds]\ngrace_s = \"x\"\n", mistakes);
  BOOST_TEST(!settings.has_value());
  std::vector<std::string> texts;
  for (const auto& mistake : mistakes) texts.push_back(toText(mistake));
  const auto has = [&](std::string_view text) {
    return std::ranges::find(texts, text) != texts.end();
  };
  BOOST_TEST(has("node.toml:2: node.name: must be a text"));
  BOOST_TEST(has("node.toml:5: bounds.grace_s: must be a number of 0 or more"));
  BOOST_TEST(mistakes.size() == 7U);
}

BOOST_AUTO_TEST_CASE(BrokenFileIsReported) {
  std::vector<SettingsMistake> mistakes;
  BOOST_TEST(!load("[node\n", mistakes).has_value());
  BOOST_TEST(mistakes.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
