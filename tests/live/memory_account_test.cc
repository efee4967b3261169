// Which messages are dropped where the memory that is held for others reaches its bound.
#include "live/memory_account.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "live/memory_plan.h"

namespace covewing::live {

namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kStart{std::chrono::seconds(100)};
constexpr std::size_t kTotal = 1000;
constexpr std::size_t kShare = 400;

/// An account with a share of kShare for each class but ordinary requests.
struct AccountFixture {
  MemoryAccountPtr account =
      std::make_shared<MemoryAccount>(MemoryBounds{kTotal, {kTotal, kShare, kShare, kShare}});
};

class Message final : public IncomingMessage {
 public:
  Message(const MemoryAccountPtr& account, MemoryClass kind, std::size_t bytes,
          base::TimePoint since)
      : account_(account), charge_(account, kind), since_(since) {
    charge_.resize(kind, bytes);
    account_->addIncoming(*this);
  }
  ~Message() override { account_->removeIncoming(*this); }
  Message(const Message&) = delete;
  Message& operator=(const Message&) = delete;

  MemoryClass memoryClass() const override { return charge_.memoryClass(); }
  std::size_t heldBytes() const override { return charge_.bytes(); }
  base::TimePoint heldSince() const override { return since_; }
  void dropForMemory() override { charge_.resize(charge_.memoryClass(), 0); }

  bool dropped() const { return charge_.bytes() == 0; }

 private:
  MemoryAccountPtr account_;
  MemoryCharge charge_;
  base::TimePoint since_;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(MemoryAccountTest, AccountFixture)

// Guards against ordinary requests that are refused for what a crowd holds.
BOOST_AUTO_TEST_CASE(MessageThatHasHeldMostForLongestIsDroppedFirst) {
  const auto now = kStart + milliseconds(1000);
  Message old(account, MemoryClass::kBodies, 150, kStart);
  Message large(account, MemoryClass::kBodies, 200, now - milliseconds(10));
  Message small(account, MemoryClass::kBodies, 100, now - milliseconds(10));
  account->makeRoom(MemoryClass::kBodies, now);
  BOOST_TEST(old.dropped());
  BOOST_TEST(!large.dropped());
  BOOST_TEST(!small.dropped());
  BOOST_TEST(account->refused() == 1U);
}

// Guards against large bodies that take what ordinary requests need.
BOOST_AUTO_TEST_CASE(ShareOfOneClassIsNotMetByDroppingAnother) {
  Message ordinary(account, MemoryClass::kRequests, 300, kStart);
  Message body(account, MemoryClass::kBodies, kShare + 1, kStart + milliseconds(999));
  account->makeRoom(MemoryClass::kBodies, kStart + milliseconds(1000));
  BOOST_TEST(!ordinary.dropped());
  BOOST_TEST(body.dropped());
}

BOOST_AUTO_TEST_CASE(BoundOfTheWholeIsMetByDroppingWhateverHoldsMost) {
  Message body(account, MemoryClass::kBodies, kShare, kStart);
  Message ordinary(account, MemoryClass::kRequests, kTotal - kShare + 1, kStart);
  account->makeRoom(MemoryClass::kRequests, kStart);
  BOOST_TEST(ordinary.dropped());
  BOOST_TEST(!body.dropped());
}

// Guards against requests that are cut although they run: only incoming messages can be dropped.
BOOST_AUTO_TEST_CASE(WhatWasPassedOnIsNeverDropped) {
  MemoryCharge running(account, MemoryClass::kBodies);
  running.resize(MemoryClass::kBodies, kShare);
  Message body(account, MemoryClass::kBodies, 1, kStart);
  account->makeRoom(MemoryClass::kBodies, kStart);
  BOOST_TEST(body.dropped());
  BOOST_TEST(running.bytes() == kShare);
  account->makeRoom(MemoryClass::kBodies, kStart);
  BOOST_TEST(account->held(MemoryClass::kBodies) == kShare);
}

// Guards against a body that is received in part and can't be received whole.
BOOST_AUTO_TEST_CASE(OnlyWhatCannotBeDroppedKeepsABodyOut) {
  Message body(account, MemoryClass::kBodies, kShare, kStart);
  BOOST_TEST(account->couldReceive(MemoryClass::kBodies, kShare));
  BOOST_TEST(!account->couldReceive(MemoryClass::kBodies, kShare + 1));
  MemoryCharge running(account, MemoryClass::kBodies);
  running.resize(MemoryClass::kBodies, 1);
  BOOST_TEST(!account->couldReceive(MemoryClass::kBodies, kShare));
  BOOST_TEST(account->couldReceive(MemoryClass::kBodies, kShare - 1));
}

// Guards against memory that stays with the process, and against giving it back again and again.
BOOST_AUTO_TEST_CASE(ListenerIsToldWhenMuchLessIsHeldThanBefore) {
  int freed = 0;
  account->onFreed(100, [&freed] { ++freed; });
  MemoryCharge charge(account, MemoryClass::kRequests);
  charge.resize(MemoryClass::kRequests, 300);
  BOOST_TEST(freed == 0);
  charge.resize(MemoryClass::kRequests, 201);
  BOOST_TEST(freed == 0);
  charge.resize(MemoryClass::kRequests, 200);
  BOOST_TEST(freed == 1);
  charge.resize(MemoryClass::kRequests, 101);
  BOOST_TEST(freed == 1);
  charge.resize(MemoryClass::kRequests, 0);
  BOOST_TEST(freed == 2);
}

BOOST_AUTO_TEST_CASE(ChargesAreTakenOffWhenTheirHoldersLetGo) {
  {
    MemoryCharge first(account, MemoryClass::kRequests);
    first.resize(MemoryClass::kRequests, 100);
    first.resize(MemoryClass::kBodies, 50);
    BOOST_TEST(account->held(MemoryClass::kRequests) == 0U);
    const MemoryCharge second(std::move(first));
    BOOST_TEST(account->held(MemoryClass::kBodies) == 50U);
    BOOST_TEST(second.bytes() == 50U);
  }
  BOOST_TEST(account->held() == 0U);
}

// Guards against a bound that leaves the node itself no memory, or that a single request inside the
// limits of the smallest machines meets.
BOOST_AUTO_TEST_CASE(SmallestMachineHoldsALargestBodyBesideOrdinaryRequests) {
  constexpr std::size_t kSmallestMachine = 88 * kMegabyte;
  constexpr std::size_t kLargestBody = 4U << 20U;
  const auto plan = divideMemory(kSmallestMachine);
  BOOST_TEST(plan.bounds.share(MemoryClass::kBodies) >= 2 * kLargestBody);
  BOOST_TEST(plan.bounds.share(MemoryClass::kPeers) >= kLargestBody);
  BOOST_TEST(plan.bounds.total + kOwnMemoryBytes < kSmallestMachine);
  const auto shared = plan.bounds.share(MemoryClass::kBodies) +
                      plan.bounds.share(MemoryClass::kResponses) +
                      plan.bounds.share(MemoryClass::kPeers);
  BOOST_TEST(plan.bounds.total - shared >= 64 * kOrdinaryRequestBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
