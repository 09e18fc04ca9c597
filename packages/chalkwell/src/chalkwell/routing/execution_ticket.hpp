// Execution tickets: each permits one execution of a request at one incarnation
// of one agent. This requires neither a clock nor shared state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chalkwell/core/identifier.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief Permission for one execution.
struct ExecutionTicket {
  core::InstanceId endpoint_;
  /// Number of the agent's incarnation, see ExecutionGuard; a later one refuses
  /// all tickets of earlier ones.
  std::uint64_t incarnation_ = 0;
  /// Number that the agent assigned to the connection of the issuing entry.
  std::uint64_t issuer_ = 0;
  /// Consecutive per issuer; starts at 1.
  std::uint64_t sequence_ = 0;

  friend bool operator==(const ExecutionTicket&,
                         const ExecutionTicket&) = default;
  friend auto operator<=>(const ExecutionTicket&,
                          const ExecutionTicket&) = default;
};

/// @brief Formats the ticket as in the `Idempotency-Key` header, with which a
/// caller may supply the ticket of an earlier request.
[[nodiscard]] std::string ToString(const ExecutionTicket& ticket);
/// @return none if the text is not a ticket.
[[nodiscard]] std::optional<ExecutionTicket> ParseTicket(std::string_view text);

/// @brief Issues tickets of one agent for one open connection.
class TicketIssuer {
 public:
  TicketIssuer(core::InstanceId endpoint, std::uint64_t incarnation,
               std::uint64_t issuer);

  [[nodiscard]] ExecutionTicket Issue();

 private:
  /// Last ticket issued.
  ExecutionTicket last_;
};

}  // namespace chalkwell::routing
