// The agent's memory of execution tickets: each runs at most once, in bounded
// memory, without a clock.
#pragma once

#include <bitset>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>

#include "chalkwell/core/identifier.hpp"
#include "chalkwell/routing/execution_ticket.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief What the guard says to a ticket.
enum class TicketStatus : std::uint8_t {
  /// First use: run it.
  kAccepted,
  /// Used before, and the answer is not (or no longer) held.
  kUsed,
  /// Used before, and the answer is held: give it again.
  kResponseCached,
  /// Of another endpoint or incarnation: whether it ran is unknown.
  kOtherIncarnation,
  /// Too old to be remembered: whether it ran is unknown.
  kExpired,
};

/// @brief Faults that tests seed to show that the proofs can fail.
struct GuardFaults {
  bool ignore_incarnation_ = false;
  bool ignore_used_tickets_ = false;
  bool accept_unknown_issuers_ = false;
};

/// @brief Sizes that bound the guard's memory.
struct GuardLimits {
  std::size_t max_issuers_ = 512;
  std::size_t max_cached_responses_ = 256;
  /// Bytes of all held answers.
  std::size_t max_cached_bytes_ = std::size_t{4} << 20;
};

/// @brief Remembers used tickets by a sliding window for each minter.
///
/// A minter is a number the agent itself gave out, so one that is no longer
/// remembered can be told from one that never was.
class ExecutionGuard {
 public:
  static constexpr std::size_t kWindow = 1024;

  ExecutionGuard(core::InstanceId endpoint, std::uint64_t incarnation,
                 GuardLimits limits = {}, GuardFaults faults = {});

  [[nodiscard]] std::uint64_t incarnation() const noexcept {
    return incarnation_;
  }
  /// @brief The answer held for a ticket, or null.
  [[nodiscard]] const std::string* FindCachedResponse(
      const ExecutionTicket& ticket) const;
  /// @brief Number of minters remembered.
  [[nodiscard]] std::size_t issuer_count() const noexcept {
    return windows_.size();
  }

  /// @brief Gives an entry a minter number; the oldest may be forgotten.
  [[nodiscard]] std::uint64_t RegisterIssuer();
  /// @brief Uses the ticket up; only kRun permits to run.
  [[nodiscard]] TicketStatus Use(const ExecutionTicket& ticket);
  /// @brief Keeps the answer for the caller's own retries, within bounds.
  void CacheResponse(const ExecutionTicket& ticket, std::string answer);

 private:
  struct Window {
    /// Highest sequence used.
    std::uint64_t highest_ = 0;
    /// Bit i stands for sequence `highest_ - i`.
    std::bitset<kWindow> used_;
  };
  struct Answer {
    ExecutionTicket ticket_;
    std::string body_;
  };

  [[nodiscard]] TicketStatus UseInWindow(Window& window,
                                         const ExecutionTicket& ticket);

  core::InstanceId endpoint_;
  std::uint64_t incarnation_;
  GuardLimits limits_;
  GuardFaults faults_;
  /// Number of the last minter opened; never given twice.
  std::uint64_t last_minter_ = 0;
  /// By minter; at most `max_issuers_`.
  std::map<std::uint64_t, Window> windows_;
  /// Newest last; bounded in count and bytes.
  std::list<Answer> answers_;
  std::size_t answer_bytes_ = 0;
};

}  // namespace chalkwell::routing
