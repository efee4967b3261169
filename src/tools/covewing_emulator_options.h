/// \file
/// Command line of covewing-emulator.
#pragma once

#include <optional>
#include <string>

#include "base/result_code.h"
#include "emulator_http/emulated_fleet.h"

namespace covewing::tools {

struct EmulatorOptions {
  emulator_http::EmulatedFleetOptions fleet;
  /// File to which the endpoints are written; if empty, they go to standard output.
  std::string endpointsFile;
  std::string scenarioFile;
  bool help = false;
  bool version = false;
};

std::string_view emulatorHelp();
/// Parses the command line. Returns nullopt if it is invalid, with the offending argument in
/// `reason`.
std::optional<EmulatorOptions> parseEmulatorOptions(int argumentCount, char** arguments,
                                                    base::Reason& reason);

}  // namespace covewing::tools
