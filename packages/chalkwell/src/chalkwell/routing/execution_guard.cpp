// Sliding windows over ticket sequence numbers.
#include "chalkwell/routing/execution_guard.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::routing {

ExecutionGuard::ExecutionGuard(core::InstanceId endpoint,
                               std::uint64_t incarnation, GuardLimits limits,
                               GuardFaults faults)
    : endpoint_(std::move(endpoint)),
      incarnation_(incarnation),
      limits_(limits),
      faults_(faults) {}

std::uint64_t ExecutionGuard::RegisterIssuer() {
  if (windows_.size() >= limits_.max_issuers_) {
    windows_.erase(windows_.begin());
  }
  ++last_issuer_;
  windows_.emplace(last_issuer_, Window{});
  return last_issuer_;
}

const std::string* ExecutionGuard::FindCachedResponse(
    const ExecutionTicket& ticket) const {
  const auto response =
      std::ranges::find(responses_, ticket, &CachedResponse::ticket_);
  return response == responses_.end() ? nullptr : &response->body_;
}

TicketStatus ExecutionGuard::Use(const ExecutionTicket& ticket) {
  const bool own =
      ticket.endpoint_ == endpoint_ && ticket.incarnation_ == incarnation_;
  if (!own && !faults_.ignore_incarnation_) {
    return TicketStatus::kOtherIncarnation;
  }
  auto window = windows_.find(ticket.issuer_);
  if (window == windows_.end() && faults_.accept_unknown_issuers_) {
    window = windows_.emplace(ticket.issuer_, Window{}).first;
  }
  if (window == windows_.end()) {
    return TicketStatus::kOutsideWindow;
  }
  return UseInWindow(window->second, ticket);
}

TicketStatus ExecutionGuard::UseInWindow(Window& window,
                                         const ExecutionTicket& ticket) {
  if (ticket.sequence_ > window.highest_) {
    const auto shift = ticket.sequence_ - window.highest_;
    window.used_ = shift >= kWindowSize ? std::bitset<kWindowSize>{}
                                        : window.used_ << shift;
    window.used_.set(0);
    window.highest_ = ticket.sequence_;
    return TicketStatus::kAccepted;
  }
  const auto age = window.highest_ - ticket.sequence_;
  if (age >= kWindowSize) {
    return TicketStatus::kOutsideWindow;
  }
  if (!window.used_.test(age) || faults_.ignore_used_tickets_) {
    window.used_.set(age);
    return TicketStatus::kAccepted;
  }
  return FindCachedResponse(ticket) != nullptr ? TicketStatus::kResponseCached
                                               : TicketStatus::kUsed;
}

void ExecutionGuard::CacheResponse(const ExecutionTicket& ticket,
                                   std::string response) {
  if (response.size() > limits_.max_cached_bytes_) {
    return;
  }
  cached_bytes_ += response.size();
  responses_.push_back({ticket, std::move(response)});
  while (responses_.size() > limits_.max_cached_responses_ ||
         cached_bytes_ > limits_.max_cached_bytes_) {
    cached_bytes_ -= responses_.front().body_.size();
    responses_.pop_front();
  }
}

}  // namespace chalkwell::routing
