#include "live/process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace covewing::live {

double residentBytes() {
  std::ifstream file("/proc/self/statm");
  double pages = 0;
  double resident = 0;
  file >> pages >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double processorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicrosecond = 1e-6;
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * kMicrosecond;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

}  // namespace covewing::live
