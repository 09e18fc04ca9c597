// A clock that went back by more than the largest delay belongs to a machine
// that was rebooted.
#include "chalkwell/membership/message_order.hpp"

namespace chalkwell::membership {
namespace {

/// No datagram is delayed for longer. After a power failure, messages of a
/// machine that was up for less than this before count as late for at most this
/// long.
constexpr auto kMaxDelay = std::chrono::seconds(5);

}  // namespace

bool MessageOrder::RecordAndCheckReordered(std::chrono::milliseconds sent) {
  const bool late = newest_ && sent < *newest_ && *newest_ - sent < kMaxDelay;
  if (!late) {
    newest_ = sent;
  }
  return late;
}

}  // namespace chalkwell::membership
