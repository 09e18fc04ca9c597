// Detects reordered datagrams: a message that was sent before the newest one
// received from the same sender is late and must not be applied.
#pragma once

#include <chrono>
#include <optional>

namespace chalkwell::membership {

/// @brief Order of the messages from one sender.
class MessageOrder {
 public:
  /// @brief Records a received message.
  /// @param sent time by the sender's steady clock, which restarts when its
  /// machine boots: a time far below the newest one is taken for a reboot and
  /// is not late.
  /// @return whether a message sent later was received before.
  bool RecordAndCheckReordered(std::chrono::milliseconds sent);

 private:
  std::optional<std::chrono::milliseconds> newest_;
};

}  // namespace chalkwell::membership
