// Datagrams overtake each other: what one sender said before its last word
// heard is late, and must not be believed any more.
#pragma once

#include <chrono>
#include <optional>

namespace chalkwell::membership {

/// @brief Order of the messages of one sender.
class MessageOrder {
 public:
  /// @brief Takes a message that arrived.
  /// @param sent by the sender's steady clock, which begins anew with its
  /// machine.
  /// @return whether a later one arrived before.
  bool CheckLate(std::chrono::milliseconds sent);

 private:
  std::optional<std::chrono::milliseconds> newest_;
};

}  // namespace chalkwell::membership
