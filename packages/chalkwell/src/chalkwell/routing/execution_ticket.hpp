// Execution tickets: permission to run one request once, at one incarnation of
// one agent. No clock and no shared state is needed to keep that promise.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chalkwell/core/identifier.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief One permission to run.
struct ExecutionTicket {
  core::InstanceId endpoint_;
  /// Of the agent; a replaced agent refuses all tickets of the one before.
  std::uint64_t incarnation_ = 0;
  /// Number that the agent gave to the stream of the entry that minted it.
  std::uint64_t issuer_ = 0;
  /// Rises by one with each ticket of a minter; begins at 1.
  std::uint64_t sequence_ = 0;

  friend bool operator==(const ExecutionTicket&,
                         const ExecutionTicket&) = default;
  friend auto operator<=>(const ExecutionTicket&,
                          const ExecutionTicket&) = default;
};

/// @brief Text form, as in the `Idempotency-Key` header.
[[nodiscard]] std::string ToString(const ExecutionTicket& ticket);
/// @return nothing when the text is not a ticket.
[[nodiscard]] std::optional<ExecutionTicket> ParseTicket(std::string_view text);

/// @brief Mints tickets for one agent over one open stream.
class TicketIssuer {
 public:
  TicketIssuer(core::InstanceId endpoint, std::uint64_t incarnation,
               std::uint64_t minter);

  [[nodiscard]] ExecutionTicket Issue();

 private:
  /// Sequence of the last ticket.
  ExecutionTicket last_;
};

}  // namespace chalkwell::routing
