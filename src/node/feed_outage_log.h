/// \file
/// Logs the start and the end of each outage of a table service feed, once each.
#pragma once

#include <string>
#include <utility>

#include "base/event_log.h"
#include "clients/table_feed_client.h"

namespace covewing::node {

class FeedOutageLog {
 public:
  /// `feed` is the name of the feed in the log.
  FeedOutageLog(base::EventLog& log, std::string feed) : log_(log), feed_(std::move(feed)) {}

  void onCurrent();
  void onFailure(clients::FeedStatus status);

 private:
  base::EventLog& log_;
  std::string feed_;
  bool failing_ = false;
};

}  // namespace covewing::node
