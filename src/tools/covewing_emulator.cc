// covewing-emulator: emulates engines, application replicas and platform services over HTTP.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "covewing_emulator_options.h"
#include "emulator_http/emulated_fleet.h"
#include "live/asio_runtime.h"

namespace covewing::tools {

namespace {

constexpr std::string_view kVersion = "0.1";
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

int fail(int status, const base::Reason& reason) {
  std::cerr << "covewing-emulator: " << reason.detail << '\n';
  return status;
}

std::optional<std::string> readFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Writes to a temporary file and renames it, so that a reader never sees a partial file.
bool writeFile(const std::string& path, const std::string& text) {
  const std::string temporaryPath = path + ".part";
  std::ofstream file(temporaryPath);
  file << text << '\n';
  file.close();
  return file.good() && std::rename(temporaryPath.c_str(), path.c_str()) == 0;
}

bool publishEndpoints(const EmulatorOptions& options, const emulator_http::EmulatedFleet& fleet) {
  if (!options.endpointsFile.empty()) {
    return writeFile(options.endpointsFile, fleet.endpointsJson());
  }
  std::cout << fleet.endpointsJson() << std::endl;
  return true;
}

std::optional<std::vector<emulator_http::TimedAction>> readScenario(const std::string& path,
                                                                    base::Reason& reason) {
  if (path.empty()) return std::vector<emulator_http::TimedAction>{};
  const auto text = readFile(path);
  if (!text) {
    reason = base::Reason{base::ResultCode::kSettingsInvalid, "cannot read " + path};
    return std::nullopt;
  }
  auto scenario = emulator_http::parseScenario(*text, reason);
  if (!scenario) reason.detail = path + ": " + reason.detail;
  return scenario;
}

int serve(EmulatorOptions options) {
  base::Reason reason;
  const auto scenario = readScenario(options.scenarioFile, reason);
  if (!scenario) return fail(kExitUsage, reason);
  boost::asio::io_context context(1);
  const live::AsioClock clock;
  live::AsioTimerService timers(context);
  options.fleet.fleet.engine.firstIncarnation = live::startIncarnation();
  emulator_http::EmulatedFleet fleet(context, options.fleet, clock, timers);
  if (!fleet.start(reason)) return fail(kExitFailed, reason);
  if (!publishEndpoints(options, fleet)) {
    reason =
        base::Reason{base::ResultCode::kSettingsInvalid, "cannot write " + options.endpointsFile};
    return fail(kExitFailed, reason);
  }
  fleet.schedule(*scenario);
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](const auto& /*error*/, int /*signal*/) { context.stop(); });
  context.run();
  return 0;
}

int run(int argumentCount, char** arguments) {
  base::Reason reason;
  const auto options = parseEmulatorOptions(argumentCount, arguments, reason);
  if (!options) {
    reason.detail = "wrong argument " + reason.detail + "; see --help";
    return fail(kExitUsage, reason);
  }
  if (options->help) {
    std::cout << emulatorHelp();
    return 0;
  }
  if (options->version) {
    std::cout << "covewing-emulator " << kVersion << '\n';
    return 0;
  }
  return serve(*options);
}

}  // namespace

}  // namespace covewing::tools

int main(int argumentCount, char** arguments) {
  return covewing::tools::run(argumentCount, arguments);
}
