/// \file
/// covewing-bench: runs workloads and experiments, in simulation or against live nodes.
#include "tools/covewing_bench.h"

#include <cstdio>
#include <string_view>

namespace {

constexpr std::string_view kUsage =
    R"(usage: covewing-bench run SCENARIO [--policy P] [--seed N] [--set KEY=VALUE]... [--no-oracle]
       covewing-bench list
       covewing-bench table [--plot] < REPORT-LINES
       covewing-bench workload SCENARIO [--seed N] [--set KEY=VALUE]...
       covewing-bench live --node ADDRESS:PORT... --key KEY [OPTION]...
)";

}  // namespace

int main(int argc, char** argv) {
  using namespace covewing::tools;
  const std::string_view verb = argc > 1 ? argv[1] : "";
  // Each verb parses the arguments that follow its name.
  const int count = argc - 1;
  char** arguments = argv + 1;
  if (verb == "run") return runScenario(count, arguments);
  if (verb == "list") return listScenarios();
  if (verb == "table") return writeTable(count, arguments);
  if (verb == "workload") return describeWorkload(count, arguments);
  if (verb == "live") return runLive(count, arguments);
  const bool help = verb == "help" || verb == "--help" || verb == "-h";
  std::fwrite(kUsage.data(), 1, kUsage.size(), help ? stdout : stderr);
  return help ? kExitOk : kExitUsage;
}
