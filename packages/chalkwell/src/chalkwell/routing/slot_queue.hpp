// Slots of one endpoint, shared by the entries that send to it: a short queue
// in front of the back end, in which entries take turns.
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

/// @brief Sizes of an endpoint's queue.
struct SlotLimits {
  /// Runs at the back end at once.
  std::size_t capacity_ = 32;
  /// Runs that may wait for a slot, of all senders together.
  std::size_t max_waiting_ = 32;
  /// A sender counts as active for this long after its last run.
  core::Duration sender_activity_window_ = std::chrono::seconds(5);
};

/// @brief What becomes of a run that is offered.
enum class SlotDecision : std::uint8_t {
  /// It has a slot; release it at its end.
  kStart,
  /// It waits; `Next` names it when its turn comes.
  kWait,
  /// There is no room; it has not run and never will.
  kFull,
};

/// @brief Decides which run gets the next slot.
///
/// The endpoint is the one place that all its entries meet, so it alone knows
/// how many share it; they learn that number with each answer.
class SlotQueue {
 public:
  explicit SlotQueue(SlotLimits limits = {}) noexcept : limits_(limits) {}

  [[nodiscard]] std::size_t in_use() const noexcept { return in_use_; }
  [[nodiscard]] std::size_t waiting() const noexcept { return waiting_; }
  /// @brief Senders active of late; at least 1.
  [[nodiscard]] std::size_t active_senders(core::TimePoint now) const;

  [[nodiscard]] SlotDecision Offer(std::uint64_t run,
                                   const core::InstanceId& sender,
                                   core::TimePoint now);
  /// @brief Gives a free slot to the sender whose turn it is.
  [[nodiscard]] std::optional<std::uint64_t> Next();
  /// @brief A waiting run was given up.
  /// @return false when it does not wait.
  bool Remove(std::uint64_t run);
  /// @brief Empties the queue, for instance when the endpoint leaves.
  [[nodiscard]] std::vector<std::uint64_t> TakeWaiting();
  /// @brief A run that had a slot has ended.
  /// @warning Call it once for each slot given by `Offer` or `Next`.
  void Release() noexcept { --in_use_; }

 private:
  SlotLimits limits_;
  /// At most the capacity.
  std::size_t in_use_ = 0;
  /// Sum of the queues in `queues_`.
  std::size_t waiting_ = 0;
  std::map<core::InstanceId, std::deque<std::uint64_t>> queues_;
  /// Senders with a queue that is not empty, next turn first.
  std::deque<core::InstanceId> turns_;
  std::map<core::InstanceId, core::TimePoint> last_offer_;
};

}  // namespace chalkwell::routing
