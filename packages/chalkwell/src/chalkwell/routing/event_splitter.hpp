// Splits a stream of server-sent events into whole events, so that an answer
// can go on at another endpoint after the last one that was passed on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chalkwell::routing {

/// @brief Whole events of one piece of a stream.
struct CompleteEvents {
  /// As they arrived, blank lines included.
  std::string bytes_;
  std::uint64_t count_ = 0;
};

/// @brief Splitter of the answers to one request, over all its attempts.
class EventSplitter {
 public:
  /// @brief Takes bytes and returns the events they complete. Events numbered
  /// no higher than the last one taken are left out: a resumed stream may
  /// repeat them.
  [[nodiscard]] CompleteEvents Append(std::string_view bytes);
  /// @brief Bytes of an event that is not complete yet.
  [[nodiscard]] const std::string& partial_event() const noexcept {
    return rest_;
  }
  /// @brief Forgets an incomplete event: its attempt has ended.
  void DiscardPartialEvent() noexcept { rest_.clear(); }
  /// @brief Number of the last whole event; none before the first.
  [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept {
    return last_id_;
  }

 private:
  std::string rest_;
  std::optional<std::uint64_t> last_id_;
};

}  // namespace chalkwell::routing
