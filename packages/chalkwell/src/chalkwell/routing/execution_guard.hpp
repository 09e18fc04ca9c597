// Replay protection for execution tickets at an agent: each is used at most
// once, with bounded memory and without a clock.
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

/// @brief Result of using a ticket.
enum class TicketStatus : std::uint8_t {
  /// First use: execute the request.
  kAccepted,
  /// Used before; its response was not cached or has been evicted.
  kUsed,
  /// Used before; respond with the cached response.
  kResponseCached,
  /// For another endpoint or incarnation: whether it was used is unknown.
  kOtherIncarnation,
  /// Older than the window, or its issuer is unknown: whether it was used is
  /// unknown.
  kOutsideWindow,
};

/// @brief Faults that tests inject to show that the tests' checks detect them;
/// all off in production.
struct GuardFaults {
  bool ignore_incarnation_ = false;
  bool ignore_used_tickets_ = false;
  bool accept_unknown_issuers_ = false;
};

/// @brief Limits of the guard's memory.
struct GuardLimits {
  std::size_t max_issuers_ = 512;
  std::size_t max_cached_responses_ = 256;
  /// Bytes of all cached responses.
  std::size_t max_cached_bytes_ = std::size_t{4} << 20;
};

/// @brief Tracks used tickets in a sliding window per issuer.
///
/// Issuer numbers are assigned by the agent in rising order and never reused,
/// so a ticket of an evicted issuer matches no newer window.
class ExecutionGuard {
 public:
  static constexpr std::size_t kWindowSize = 1024;

  /// @param incarnation number of this start of the agent, different at each
  /// start.
  ExecutionGuard(core::InstanceId endpoint, std::uint64_t incarnation,
                 GuardLimits limits = {}, GuardFaults faults = {});

  [[nodiscard]] std::uint64_t incarnation() const noexcept {
    return incarnation_;
  }
  /// @brief The response cached for a ticket, or null.
  [[nodiscard]] const std::string* FindCachedResponse(
      const ExecutionTicket& ticket) const;
  /// @brief Number of issuers with a window.
  [[nodiscard]] std::size_t issuer_count() const noexcept {
    return windows_.size();
  }

  /// @brief Assigns an issuer number to an entry; may evict the oldest issuer.
  [[nodiscard]] std::uint64_t RegisterIssuer();
  /// @brief Marks the ticket as used; only kAccepted permits execution.
  [[nodiscard]] TicketStatus Use(const ExecutionTicket& ticket);
  /// @brief Caches the response for retries by the caller, within the limits.
  void CacheResponse(const ExecutionTicket& ticket, std::string response);

 private:
  struct Window {
    /// Highest sequence number used.
    std::uint64_t highest_ = 0;
    /// Bit i is set if sequence number `highest_ - i` was used.
    std::bitset<kWindowSize> used_;
  };
  struct CachedResponse {
    ExecutionTicket ticket_;
    std::string body_;
  };

  [[nodiscard]] TicketStatus UseInWindow(Window& window,
                                         const ExecutionTicket& ticket);

  core::InstanceId endpoint_;
  std::uint64_t incarnation_;
  GuardLimits limits_;
  GuardFaults faults_;
  /// Last issuer number assigned; numbers are not reused.
  std::uint64_t last_issuer_ = 0;
  /// By issuer; at most `max_issuers_`.
  std::map<std::uint64_t, Window> windows_;
  /// Oldest first; limited in count and bytes.
  std::list<CachedResponse> responses_;
  std::size_t cached_bytes_ = 0;
};

}  // namespace chalkwell::routing
