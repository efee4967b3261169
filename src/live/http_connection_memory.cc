// What a connection of the server enters in the account of memory.
#include <memory>
#include <utility>

#include "live/asio_runtime.h"
#include "live/http_connection.h"

namespace covewing::live {

namespace {

/// Memory of a head as a multiple of its size: as parsed, as passed on, and as sent.
constexpr std::size_t kHeadCopies = 3;

}  // namespace

clients::SharedBody Connection::takeBody(std::string text) {
  if (text.empty()) return {};
  struct EnteredBody {
    MemoryCharge charge;
    std::string text;
  };
  const auto kind = text.size() > kOrdinaryRequestBytes ? memory_.bodies : memory_.requests;
  MemoryCharge charge(memory_.account, kind);
  charge.resize(kind, text.capacity());
  const auto body = std::make_shared<EnteredBody>(EnteredBody{std::move(charge), std::move(text)});
  return clients::SharedBody{std::shared_ptr<const std::string>(body, &body->text)};
}

std::size_t Connection::receivedBytes() const {
  return buffer_.capacity() + kHeadCopies * headBytes_ + parser_->get().body().capacity();
}

void Connection::enterReceived() {
  if (state_ == State::kClosed) return;
  const auto bytes = receivedBytes();
  const auto kind = bytes > kOrdinaryRequestBytes ? memory_.bodies : memory_.requests;
  const bool grown = bytes > received_.bytes();
  received_.resize(kind, bytes);
  if (grown) memory_.account->makeRoom(kind, AsioClock{}.now());
}

void Connection::enterUnsent() {
  unsent_.resize(MemoryClass::kResponses, writing_.capacity() + pending_.capacity());
}

void Connection::beginIncoming(base::TimePoint since) {
  heldSince_ = since;
  memory_.account->addIncoming(*this);
}

void Connection::endIncoming() { memory_.account->removeIncoming(*this); }

bool Connection::hasRoomForBody() const {
  const auto announced = parser_->content_length_remaining().value_or(0);
  if (announced <= kOrdinaryRequestBytes) return true;
  return memory_.account->couldReceive(memory_.bodies, announced);
}

}  // namespace covewing::live
