// Splits a stream of server-sent events into complete events, so that a
// response can be resumed at another endpoint after the last event that was
// forwarded.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chalkwell::routing {

/// @brief Complete events of one part of a stream.
struct CompleteEvents {
  /// As received, blank lines included.
  std::string bytes_;
  std::uint64_t count_ = 0;
};

/// @brief Splits the responses to one request, over all its attempts.
class EventSplitter {
 public:
  /// @brief Appends bytes and returns the events they complete. Events whose id
  /// is not above that of the last complete event are omitted: a resumed stream
  /// may repeat them. Events without an id are never omitted.
  [[nodiscard]] CompleteEvents Append(std::string_view bytes);
  /// @brief Whether the stream ends inside an event. Blank lines at the end
  /// belong to no event.
  [[nodiscard]] bool inside_event() const noexcept;
  /// @brief Bytes after the last complete event.
  [[nodiscard]] const std::string& partial_event() const noexcept {
    return partial_event_;
  }
  /// @brief Discards an incomplete event, once its attempt has ended.
  void DiscardPartialEvent() noexcept { partial_event_.clear(); }
  /// @brief Id of the last complete event; none before the first.
  [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept {
    return last_id_;
  }

 private:
  std::string partial_event_;
  std::optional<std::uint64_t> last_id_;
};

}  // namespace chalkwell::routing
