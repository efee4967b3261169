/// \file
/// covewingd, the node daemon. Exit status: 0 after a planned stop, 1 if a
/// listener cannot be opened, 2 for invalid settings or flags, 3 after a
/// forced stop, 4 if exceptions left more than one handler of the event loop.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include "live/boost_event_log.h"
#include "live/command_line.h"
#include "live/daemon.h"
#include "live/handler_failures.h"

namespace covewing::live {

namespace {

constexpr int kExitListener = 1;
constexpr int kExitUsage = 2;
constexpr int kExitForced = 3;
constexpr int kExitInternal = 4;

/// Reads the settings file; if it cannot be read, adds a mistake and returns nullopt.
std::optional<SettingsSource> readSource(const std::string &file,
                                         std::vector<SettingsMistake> &mistakes) {
  const std::ifstream stream(file);
  std::stringstream text;
  text << stream.rdbuf();
  if (stream.is_open() && text) return SettingsSource{file, text.str()};
  mistakes.push_back({file, 0, "", "cannot be read"});
  return std::nullopt;
}

std::optional<Settings> readSettings(const CommandLine &line) {
  std::vector<SettingsMistake> mistakes;
  std::optional<SettingsSource> source;
  if (!line.settingsFile.empty()) source = readSource(line.settingsFile, mistakes);
  std::optional<Settings> settings;
  if (mistakes.empty()) settings = loadSettings(source, line.overrides, mistakes);
  for (const auto &mistake : mistakes) std::cerr << toText(mistake) << '\n';
  return settings;
}

/// Handles SIGTERM and SIGINT: the first signal starts a planned stop, the second stops at once.
class StopSignals {
 public:
  StopSignals(boost::asio::io_context &context, Daemon &daemon)
      : context_(context), daemon_(daemon), signals_(context, SIGTERM, SIGINT) {
    wait();
  }
  bool forced() const { return forced_; }
  /// Starts a planned stop, unless one is under way.
  void beginStop() {
    if (std::exchange(draining_, true)) return;
    daemon_.drain([this] { context_.stop(); });
  }

 private:
  void wait() {
    signals_.async_wait([this](boost::system::error_code error, int /*signal*/) {
      if (!error) onSignal();
    });
  }

  void onSignal() {
    if (draining_) {
      forced_ = true;
      context_.stop();
      return;
    }
    beginStop();
    wait();
  }

  boost::asio::io_context &context_;
  Daemon &daemon_;
  boost::asio::signal_set signals_;
  bool draining_ = false;
  bool forced_ = false;
};

int run(Settings settings) {
  BoostEventLog log(settings.name, {.minimum = settings.logSeverity});
  boost::asio::io_context context(1);
  Daemon daemon(context, std::move(settings), log, node::makeNode);
  base::Reason reason;
  if (!daemon.start(reason)) {
    std::cerr << "covewingd: " << reason.detail << '\n';
    return kExitListener;
  }
  StopSignals signals(context, daemon);
  if (runEventLoop(context, [&signals] { signals.beginStop(); }) == LoopEnd::kFailed)
    return kExitInternal;
  return signals.forced() ? kExitForced : 0;
}

int runProgram(int argumentCount, char **arguments) {
  std::string problem;
  const auto line = parseCommandLine(argumentCount, arguments, problem);
  if (!line) {
    std::cerr << "covewingd: " << problem << "; see --help\n";
    return kExitUsage;
  }
  if (line->mode == CommandMode::kHelp) {
    std::cout << helpText();
    return 0;
  }
  auto settings = readSettings(*line);
  if (!settings) return kExitUsage;
  if (line->mode == CommandMode::kCheck) {
    std::cout << line->settingsFile << ": ok\n";
    return 0;
  }
  return run(std::move(*settings));
}

}  // namespace

}  // namespace covewing::live

int main(int argumentCount, char **arguments) {
  return covewing::live::runProgram(argumentCount, arguments);
}
