// Text form: "cw1.<incarnation>.<issuer>.<sequence>.<endpoint>".
#include "chalkwell/routing/execution_ticket.hpp"

#include <charconv>
#include <utility>

namespace chalkwell::routing {
namespace {

constexpr std::string_view kPrefix = "cw1.";

std::optional<std::uint64_t> ConsumeNumber(std::string_view& text) {
  const auto dot = text.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto part = text.substr(0, dot);
  std::uint64_t number = 0;
  const auto* end = part.data() + part.size();
  const auto [parsed, error] = std::from_chars(part.data(), end, number);
  if (error != std::errc{} || parsed != end) {
    return std::nullopt;
  }
  text.remove_prefix(dot + 1);
  return number;
}

}  // namespace

std::string ToString(const ExecutionTicket& ticket) {
  return std::string(kPrefix) + std::to_string(ticket.incarnation_) + "." +
         std::to_string(ticket.issuer_) + "." +
         std::to_string(ticket.sequence_) + "." + ticket.endpoint_.value();
}

std::optional<ExecutionTicket> ParseTicket(std::string_view text) {
  if (!text.starts_with(kPrefix)) {
    return std::nullopt;
  }
  text.remove_prefix(kPrefix.size());
  const auto incarnation = ConsumeNumber(text);
  const auto issuer = incarnation ? ConsumeNumber(text) : std::nullopt;
  const auto sequence = issuer ? ConsumeNumber(text) : std::nullopt;
  if (!sequence || *sequence == 0 || text.empty()) {
    return std::nullopt;
  }
  return ExecutionTicket{.endpoint_ = core::InstanceId(std::string(text)),
                         .incarnation_ = *incarnation,
                         .issuer_ = *issuer,
                         .sequence_ = *sequence};
}

TicketIssuer::TicketIssuer(core::InstanceId endpoint, std::uint64_t incarnation,
                           std::uint64_t issuer)
    : last_{.endpoint_ = std::move(endpoint),
            .incarnation_ = incarnation,
            .issuer_ = issuer,
            .sequence_ = 0} {}

ExecutionTicket TicketIssuer::Issue() {
  ++last_.sequence_;
  return last_;
}

}  // namespace chalkwell::routing
