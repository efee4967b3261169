// BoostEventLog with a reader that stops reading: lines are dropped, and neither writers nor the
// destructor wait for the reader.
#include "live/boost_event_log.h"

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <sstream>
#include <thread>

namespace covewing::live {

namespace {

/// A stream buffer that blocks its writer until the test calls unblock().
class BlockedBuffer final : public std::stringbuf {
 public:
  void unblock() {
    const std::lock_guard lock(mutex_);
    blocked_ = false;
    condition_.notify_all();
  }
  std::string text() {
    const std::lock_guard lock(mutex_);
    return written_;
  }

 protected:
  std::streamsize xsputn(const char* bytes, std::streamsize count) override {
    std::unique_lock lock(mutex_);
    condition_.wait(lock, [this] { return !blocked_; });
    written_.append(bytes, static_cast<std::size_t>(count));
    return count;
  }
  int_type overflow(int_type character) override {
    const std::lock_guard lock(mutex_);
    written_ += static_cast<char>(character);
    return character;
  }

 private:
  std::mutex mutex_;
  std::condition_variable condition_;
  bool blocked_ = true;
  std::string written_;
};

std::size_t countOf(const std::string& text, std::string_view part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(BoostEventLogTest)

BOOST_AUTO_TEST_CASE(StalledReaderLosesRoutineLinesFirstAndBlocksNoWriter) {
  BlockedBuffer buffer;
  std::ostream stream(&buffer);
  {
    BoostEventLog log("n", {.stream = &stream, .routineQueueLimit = 10, .queueLimit = 20});
    // These calls return although nothing can be written.
    for (int count = 0; count < 100; ++count) log.write(base::Event::kRelayFinished, {});
    for (int count = 0; count < 5; ++count) log.write(base::Event::kRequestRefused, {});
    buffer.unblock();
    while (countOf(buffer.text(), "name=") < 15) std::this_thread::yield();
    log.write(base::Event::kRelayFinished, {});
  }
  const auto text = buffer.text();
  BOOST_TEST(countOf(text, "name=RequestRefused") == 5U);
  BOOST_TEST(countOf(text, "name=RelayFinished") == 11U);
  BOOST_TEST(countOf(text, "name=LogLinesDropped") == 1U);
  BOOST_TEST(countOf(text, "kind=\"RelayFinished\" lines=\"90\"") == 1U);
}

BOOST_AUTO_TEST_CASE(DestructorDoesNotWaitForAStalledReader) {
  static BlockedBuffer buffer;
  static std::ostream stream(&buffer);
  {
    BoostEventLog log("n", {.stream = &stream});
    log.write(base::Event::kNodeStopped, {});
  }
  BOOST_TEST(buffer.text().empty());
  buffer.unblock();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
