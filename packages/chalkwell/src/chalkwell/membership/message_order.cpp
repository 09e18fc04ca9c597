// A clock that fell far was started anew.
#include "chalkwell/membership/message_order.hpp"

namespace chalkwell::membership {
namespace {

/// No datagram is on its way for longer; a machine that lost power was up for
/// longer before, or its messages are taken again after this.
constexpr auto kLongestWay = std::chrono::seconds(5);

}  // namespace

bool MessageOrder::CheckLate(std::chrono::milliseconds sent) {
  const bool late = newest_ && sent < *newest_ && *newest_ - sent < kLongestWay;
  if (!late) {
    newest_ = sent;
  }
  return late;
}

}  // namespace chalkwell::membership
