/// \file
/// Lowers the limit of descriptors of the test process for a while.
#pragma once

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

namespace covewing::live {

/// Lowers the limit of descriptors of this process until the object is destroyed.
class LowDescriptorLimit {
 public:
  explicit LowDescriptorLimit(rlim_t descriptors) {
    getrlimit(RLIMIT_NOFILE, &before_);
    rlimit low = before_;
    low.rlim_cur = descriptors;
    setrlimit(RLIMIT_NOFILE, &low);
  }
  ~LowDescriptorLimit() { setrlimit(RLIMIT_NOFILE, &before_); }
  LowDescriptorLimit(const LowDescriptorLimit&) = delete;
  LowDescriptorLimit& operator=(const LowDescriptorLimit&) = delete;

 private:
  rlimit before_{};
};

/// The lowest number above all descriptors of this process.
inline rlim_t descriptorsEnd() {
  rlim_t highest = 0;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd"))
    highest = std::max<rlim_t>(highest, std::stoul(entry.path().filename().string()) + 1);
  return highest;
}

/// Leaves this process no descriptor beyond those that are open, until the object is destroyed.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    rlimit none = before_;
    none.rlim_cur = descriptorsEnd();
    setrlimit(RLIMIT_NOFILE, &none);
    // Numbers below the highest open one may be free.
    for (int taken = dup(0); taken >= 0; taken = dup(0)) taken_.push_back(taken);
  }
  ~NoFreeDescriptors() {
    for (const int taken : taken_) ::close(taken);
    setrlimit(RLIMIT_NOFILE, &before_);
  }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

 private:
  rlimit before_{};
  std::vector<int> taken_;
};

}  // namespace covewing::live
