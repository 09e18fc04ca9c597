// Slots of one endpoint, shared by the entries that send to it: a short queue
// in front of the backend that is served round robin over entries.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief Limits of an endpoint's queue.
struct SlotLimits {
  /// Concurrent attempts at the backend.
  std::size_t capacity_ = 32;
  /// Attempts that may wait for a slot, over all entries.
  std::size_t max_waiting_ = 32;
  /// An entry counts as active for this long after it last offered an attempt.
  core::Duration entry_activity_window_ = std::chrono::seconds(5);
};

/// @brief Result of offering an attempt.
enum class SlotDecision : std::uint8_t {
  /// It has a slot; call `Release` when it ends.
  kStart,
  /// It waits until `Next` returns it.
  kWait,
  /// The queue is full; the attempt is not started, now or later.
  kFull,
};

/// @brief Assigns slots to attempts.
///
/// Only the endpoint receives attempts from all its entries and so knows how
/// many share it. It reports that number to them with each response.
class SlotQueue {
 public:
  explicit SlotQueue(SlotLimits limits = {}) noexcept : limits_(limits) {}

  [[nodiscard]] std::size_t in_use() const noexcept { return in_use_; }
  [[nodiscard]] std::size_t waiting() const noexcept { return waiting_; }
  /// @brief Number of recently active entries; at least 1.
  [[nodiscard]] std::size_t active_entries(core::TimePoint now) const;

  /// @brief Assigns a slot to an attempt or queues it.
  /// @param entry the entry that sent it.
  [[nodiscard]] SlotDecision Offer(std::uint64_t attempt,
                                   const core::InstanceId& entry,
                                   core::TimePoint now);
  /// @brief Assigns a free slot to the next waiting attempt, round robin over
  /// entries.
  [[nodiscard]] std::optional<std::uint64_t> Next();
  /// @brief Removes a waiting attempt that was cancelled.
  /// @return false if it is not waiting.
  bool Remove(std::uint64_t attempt);
  /// @brief Removes all waiting attempts, for instance when the endpoint
  /// drains.
  [[nodiscard]] std::vector<std::uint64_t> TakeWaiting();
  /// @brief Frees the slot of an attempt that has ended.
  /// @warning Call it exactly once for each slot assigned by `Offer` or `Next`.
  void Release() noexcept { --in_use_; }

 private:
  SlotLimits limits_;
  /// At most the capacity.
  std::size_t in_use_ = 0;
  /// Total length of the queues in `queues_`.
  std::size_t waiting_ = 0;
  std::map<core::InstanceId, std::deque<std::uint64_t>> queues_;
  /// Entries with waiting attempts, in round robin order.
  std::deque<core::InstanceId> order_;
  std::map<core::InstanceId, core::TimePoint> last_offer_;
};

}  // namespace chalkwell::routing
