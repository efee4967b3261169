/// \file
/// Logs when a feed of the table service is lost and when it is regained, once each.
#pragma once

#include <string>
#include <utility>

#include "base/event_log.h"
#include "clients/table_feed_client.h"

namespace covewing::node {

class FeedOutageLog {
 public:
  /// `feed` is its name in the log.
  FeedOutageLog(base::EventLog& log, std::string feed) : log_(log), feed_(std::move(feed)) {}

  void onCurrent();
  void onFailure(clients::FeedStatus status);

 private:
  base::EventLog& log_;
  std::string feed_;
  bool failing_ = false;
};

}  // namespace covewing::node
