/// \file
/// Feeds of the table service shared between nodes.
///
/// A few readers of the fleet read the feeds from the service, the watchers of each zone ask the
/// readers, and the other nodes ask the watchers of their zone (config/feed_watchers.h). Who is
/// asked holds the question until something changes, as the service does, or until its own proof of
/// freshness is renewed. Each falls back on the other way within the same call: a node that gets
/// nothing from the node it asked asks the service, and a node that the service refuses asks
/// watchers of any zone. So a node is cut off from its configuration only when neither answers.
///
/// A node that has just started waits shortly for the membership to form, and who is asked while
/// its first copy is under way answers when it has it: when all nodes start at once, they do not
/// all turn to the service.
///
/// Freshness is never made up: an answer of a node says how old its own proof is and how long it
/// held the question, so the asker's proof is at most as young, on the asker's own steady clock.
/// What is told with a proof that is too old makes the asker turn to the service.
///
/// When the service comes back from a copy, its history goes on in a new era. Questions and answers
/// name the newest era that their sender knows, so that a return is known to all who talk to one
/// that noticed it. What was read in a former era is told to nobody any more, and its proofs do not
/// grow younger. The readers read the table anew; who has asked them from a position of the former
/// era is held until then, and told what is different (config/table_copy.h): so a return costs a
/// whole copy for each reader, and not for each node.
///
/// When a change was made is bounded in the same way: it is younger than the last proof of the copy
/// that lacked it, and a node that tells others of it says how old it is at most. So a node that
/// hears late, or copies the table when it starts, does not take the change for a new one.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/table_feed_client.h"
#include "config/feed_messages.h"
#include "config/feed_watchers.h"
#include "config/service_clock.h"
#include "config/store_eras.h"
#include "config/table_copy.h"

namespace covewing::config {

struct SharedFeedOptions {
  FeedWatcherCounts watchers;
  /// A node that sees no other one asks nobody for so long after its first call. To be set where
  /// there are other nodes to join; a join takes a round trip.
  base::Duration joinPatience{};
  /// Longest time that a node holds another's question.
  base::Duration longestHold = std::chrono::milliseconds(700);
  /// A question for the whole table is held so long where the first copy is still under way; a
  /// copy takes the service some ten milliseconds.
  base::Duration firstCopyHold = std::chrono::milliseconds(300);
  /// Longest wait for a node's answer beyond the time that it may hold the question.
  base::Duration answerTimeout = std::chrono::milliseconds(400);
  /// A node's answer whose proof is older counts as a failure. More than the time for which the
  /// service holds a watcher's call and the pause that may follow it.
  base::Duration oldestProof = std::chrono::milliseconds(1300);
  /// After a second failure in a row the other way is taken for so long, doubling with each more up
  /// to `longestBackoff`.
  base::Duration firstBackoff = std::chrono::seconds(1);
  base::Duration longestBackoff = std::chrono::seconds(8);
  /// Questions held at once.
  std::size_t mostHeld = 256;
  /// Bytes of whole copies that a node sends others in a second; whoever asks for one beyond reads
  /// the service. Two fifths of a link of 20 Mbit/s, the narrowest seen: copies that crowd a link
  /// come after the askers have given up, and are asked for again.
  double wholeCopyBytesPerSecond = 1e6;
};

/// All must outlive the feed and share its thread.
struct SharedFeedEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  base::PeerTransport& peers;
  const membership::MemberDirectory& members;
  /// The table service itself.
  clients::TableFeedClient& service;
  /// Told the eras that other nodes name.
  StoreEras& eras;
};

class SharedFeed final : public clients::TableFeedClient, public base::PeerHandler {
 public:
  SharedFeed(SharedFeedOptions options, SharedFeedEnvironment environment);
  ~SharedFeed() override;
  SharedFeed(const SharedFeed&) = delete;
  SharedFeed& operator=(const SharedFeed&) = delete;

  void readAll(std::string table, clients::FeedCallback callback) override;
  void changes(std::string table, base::Revision after, base::Duration wait,
               clients::FeedCallback callback) override;
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

 private:
  /// Keeps away from one of the two ways after failures.
  class Backoff {
   public:
    bool over(base::TimePoint now) const { return now >= until_; }
    void onFailure(base::TimePoint now, const SharedFeedOptions& options);
    void onSuccess() { *this = {}; }
    bool failing() const { return next_.count() != 0; }

   private:
    base::TimePoint until_{};
    base::Duration next_{};
  };

  /// A call of this node's own.
  struct Call {
    std::string table;
    base::Revision after = 0;
    base::Duration wait{};
    bool whole = false;
    clients::FeedCallback callback;
    bool serviceTried = false;
    bool peerTried = false;
    base::TimePoint sentAt{};
    /// For how long the service was told to hold the call.
    base::Duration hold{};
    base::TimerId timer = 0;
  };
  using CallPtr = std::shared_ptr<Call>;

  /// Another node's question that is held until something changes.
  struct Held {
    base::Endpoint asker;
    FeedQuestion question;
    base::TimePoint arrivedAt{};
    base::TimerId timer = 0;
  };

  struct Table {
    TableCopy copy;
    /// When the copy was last proved current.
    std::optional<base::TimePoint> provedAt;
    /// The service's clock less this node's.
    std::optional<base::Duration> serviceOffset;
    Backoff service;
    Backoff peers;
    /// Calls to the service in a row that failed.
    std::size_t serviceFailures = 0;
    /// When the last call was sent that failed after another one had.
    std::optional<base::TimePoint> unreachableAt;
    /// Calls of this node that are under way.
    std::size_t underWay = 0;
  };

  void begin(const CallPtr& call);
  /// Answers that all rows must be read again.
  void endWithoutHistory(const CallPtr& call, base::Revision revision);
  /// The reply is of a history that has ended, or tells nothing of what is behind the position that
  /// the call asked from.
  bool ofOtherHistory(const Call& call, const clients::FeedReply& reply) const;
  /// The table was copied in the era that is known, and proved current.
  bool copied(const Table& table) const;
  /// Whether the membership may still be about to form.
  bool mayYetJoin();
  bool prefersPeer(const Table& table) const;
  void askService(const CallPtr& call);
  void onServiceReply(const CallPtr& call, clients::FeedReply reply);
  FeedWatchers::Scope whomToAsk(const Call& call);
  /// Asks another node; false when there is none to ask.
  bool askPeer(const CallPtr& call);
  void onPeerAnswer(const CallPtr& call, const base::Endpoint& sender, FeedAnswer answer);
  void onPeerFailed(const CallPtr& call);
  /// Notes a call to the service that failed.
  static void noteFailure(Table& table, const Call& call, clients::FeedStatus status);
  /// Keeps what a reply tells, answers held questions, and ends the call.
  void finish(const CallPtr& call, clients::FeedReply reply);

  void onQuestion(const base::Endpoint& asker, FeedQuestion question);
  /// Answers what is held: the proof was renewed, or there is news.
  void answerHeld(const std::string& table);
  void answerWhenDue(std::uint64_t number);
  /// Answers when something changed; false when the question goes on being held.
  bool answerIfNews(const Held& held);
  /// Whether there is room on the link for another whole copy.
  bool mayTellWhole();
  /// Whether this node can prove what it would answer.
  bool canAnswer(const FeedQuestion& question) const;
  /// Says that this node cannot tell.
  void decline(const Held& held);
  void answer(const Held& held, std::vector<clients::FeedRow> rows);
  void send(const base::Endpoint& destination, const FeedMessage& message);

  SharedFeedOptions options_;
  SharedFeedEnvironment environment_;
  FeedWatchers watchers_;
  ServiceClock clock_;
  std::map<std::string, Table> tables_;
  /// Questions of this node that wait for an answer, by nonce.
  std::map<std::uint64_t, CallPtr> asked_;
  std::map<std::uint64_t, Held> held_;
  std::uint64_t lastHeld_ = 0;
  /// Bytes of whole copies that may be sent now; below zero after one that was larger.
  double wholeCopyBytes_;
  base::TimePoint wholeCopyRefilledAt_{};
  std::optional<base::TimePoint> firstCallAt_;
  base::TimerId joinTimer_ = 0;
  /// Calls that wait for the membership to form.
  std::vector<CallPtr> postponed_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::config
