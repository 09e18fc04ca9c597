// Access to the staging of one engine. An engine loads what is staged at the
// moment at which it takes an activation order, which may be long after the
// order was sent, and also if its reply is lost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/rollout/fwd.hpp"

namespace chalkwell::rollout {

/// @brief Settings of a StagingGuard.
struct StagingGuardSettings {
  /// An engine that has reported for this long without a failure has handled
  /// everything that it had received before. Longer than the timeout of a
  /// report, so that it was not suspended all the time.
  core::Duration settle_time_ = std::chrono::milliseconds(2000);
};

/// @brief How the engine replied to an order.
enum class OrderReply : std::uint8_t {
  /// It took the order, or had done before.
  kAccepted,
  /// It did not take the order.
  kRefused,
  /// It may have taken the order, or may still take it.
  kNone,
};

/// @brief What showed that no order can be taken anymore.
enum class OrderResolution : std::uint8_t {
  kReply,
  /// The engine reported a higher number of orders.
  kReport,
  /// The engine restarted.
  kRestart,
  /// The engine responded for the settle time without taking the order.
  kSettled,
};

/// @brief Text of a resolution in logs.
[[nodiscard]] std::string_view ToString(OrderResolution resolution) noexcept;

/// @brief Decides which versions may be written to the staging, and which may
/// be ordered.
///
/// An order is unresolved from when it is sent until it is known that the
/// engine took it, refused it or can no longer take it. Until then only chunks
/// of its version are written, so that the engine finds them whenever it takes
/// it. In the same way no version is ordered while a write of another one may
/// still be carried out. An order names the number of orders that the engine
/// has taken, so that of those sent at the same number one is taken at most.
class StagingGuard {
 public:
  using Id = std::uint64_t;

  explicit StagingGuard(StagingGuardSettings settings = {})
      : settings_(settings) {}

  /// @brief An order was sent.
  /// @param taken_before number of orders that the engine had taken; it refuses
  /// the order at any other number.
  [[nodiscard]] Id OnOrderSent(std::uint64_t version,
                               std::uint64_t taken_before, core::TimePoint now);
  /// @brief The call of an order has ended.
  /// @return how the orders were resolved; none if one is unresolved.
  std::optional<OrderResolution> OnOrderEnded(Id order, OrderReply reply,
                                              core::TimePoint now);
  /// @brief A chunk was sent to the staging.
  [[nodiscard]] Id OnWriteSent(std::uint64_t version);
  /// @param replied whether the engine replied; otherwise it may still carry
  /// out the write.
  void OnWriteEnded(Id write, bool replied, core::TimePoint now);
  /// @brief The engine reported the number of orders that it has taken.
  /// @return how the orders were resolved; none if one is unresolved, or none
  /// was.
  std::optional<OrderResolution> OnReport(std::uint64_t taken,
                                          core::TimePoint now);
  /// @brief The engine did not report.
  void OnReportFailed() noexcept { responsive_since_.reset(); }
  /// @brief The engine restarted: it takes no order sent to its predecessor.
  /// @return how the orders were resolved; none if none was unresolved.
  std::optional<OrderResolution> OnEngineRestarted() noexcept;
  /// @brief Nothing is staged, so that an earlier process of the agent cannot
  /// have ordered anything.
  void OnStagingEmpty() noexcept { predecessor_ = false; }
  /// @brief Chunks of a version are staged, so that an earlier process of the
  /// agent has no unresolved order of another one: it would not have written
  /// them.
  void OnStagedVersion(std::uint64_t version) noexcept {
    predecessor_version_ = version;
  }
  /// @brief Whether an earlier process of the agent may have sent an order of
  /// an unknown version.
  [[nodiscard]] bool predecessor_unknown() const noexcept {
    return predecessor_ && !predecessor_version_;
  }

  /// @brief Whether chunks of a version may be written to the staging.
  [[nodiscard]] bool MayWrite(std::uint64_t version) const;
  /// @brief Whether a version may be ordered.
  [[nodiscard]] bool MayOrder(std::uint64_t version) const;
  /// @brief Whether an order of this process is unresolved.
  [[nodiscard]] bool unresolved() const noexcept { return !orders_.empty(); }
  /// @brief When the oldest unresolved order was sent; none if there is none.
  [[nodiscard]] std::optional<core::TimePoint> unresolved_since() const;

 private:
  struct Order {
    Id id_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t taken_before_ = 0;
    core::TimePoint sent_at_;
    /// When its call ended without a reply.
    std::optional<core::TimePoint> lost_at_;
  };
  struct Write {
    Id id_ = 0;
    std::uint64_t version_ = 0;
    std::optional<core::TimePoint> lost_at_;
  };

  /// @brief Whether what was received by a point in time has been handled.
  [[nodiscard]] bool Settled(std::optional<core::TimePoint> received_by,
                             core::TimePoint now) const;

  StagingGuardSettings settings_;
  Id last_id_ = 0;
  /// All of the same version.
  std::vector<Order> orders_;
  std::vector<Write> writes_;
  /// An earlier process of the agent may have sent an order or a write that the
  /// engine has not handled yet.
  bool predecessor_ = true;
  /// Version of that order or write, if it is known.
  std::optional<std::uint64_t> predecessor_version_;
  /// Orders taken according to the first report.
  std::optional<std::uint64_t> first_taken_;
  /// Since when the engine has reported without a failure; none while it does
  /// not.
  std::optional<core::TimePoint> responsive_since_;
};

}  // namespace chalkwell::rollout
