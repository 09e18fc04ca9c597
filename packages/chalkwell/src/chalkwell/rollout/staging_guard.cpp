// Whatever is not known to be resolved counts as pending.
#include "chalkwell/rollout/staging_guard.hpp"

#include <algorithm>

namespace chalkwell::rollout {

std::string_view ToString(OrderResolution resolution) noexcept {
  switch (resolution) {
    case OrderResolution::kReply:
      return "reply";
    case OrderResolution::kReport:
      return "report";
    case OrderResolution::kRestart:
      return "restart";
    case OrderResolution::kSettled:
      return "settled";
  }
  return "reply";
}

StagingGuard::Id StagingGuard::OnOrderSent(std::uint64_t version,
                                           std::uint64_t taken_before,
                                           core::TimePoint now) {
  orders_.push_back({.id_ = ++last_id_,
                     .version_ = version,
                     .taken_before_ = taken_before,
                     .sent_at_ = now,
                     .lost_at_ = std::nullopt});
  return last_id_;
}

std::optional<OrderResolution> StagingGuard::OnOrderEnded(Id order,
                                                          OrderReply reply,
                                                          core::TimePoint now) {
  const auto found = std::ranges::find(orders_, order, &Order::id_);
  if (found == orders_.end()) {
    return std::nullopt;
  }
  switch (reply) {
    case OrderReply::kAccepted:
      // The others were sent at the same number of orders or at a lower one.
      orders_.clear();
      break;
    case OrderReply::kRefused:
      orders_.erase(found);
      break;
    case OrderReply::kNone:
      found->lost_at_ = now;
      break;
  }
  return orders_.empty() ? std::optional(OrderResolution::kReply)
                         : std::nullopt;
}

StagingGuard::Id StagingGuard::OnWriteSent(std::uint64_t version) {
  writes_.push_back(
      {.id_ = ++last_id_, .version_ = version, .lost_at_ = std::nullopt});
  return last_id_;
}

void StagingGuard::OnWriteEnded(Id write, bool replied, core::TimePoint now) {
  const auto found = std::ranges::find(writes_, write, &Write::id_);
  if (found == writes_.end()) {
    return;
  }
  if (replied) {
    writes_.erase(found);
  } else {
    found->lost_at_ = now;
  }
}

bool StagingGuard::Settled(std::optional<core::TimePoint> received_by,
                           core::TimePoint now) const {
  return received_by && responsive_since_ &&
         now - std::max(*received_by, *responsive_since_) >=
             settings_.settle_time_;
}

std::optional<OrderResolution> StagingGuard::OnReport(std::uint64_t taken,
                                                      core::TimePoint now) {
  responsive_since_ = responsive_since_.value_or(now);
  first_taken_ = first_taken_.value_or(taken);
  if (taken > *first_taken_ || Settled(responsive_since_, now)) {
    predecessor_ = false;
  }
  std::erase_if(writes_, [&](const Write& write) {
    return Settled(write.lost_at_, now);
  });
  const bool pending = unresolved();
  std::erase_if(
      orders_, [&](const Order& order) { return taken > order.taken_before_; });
  if (pending && !unresolved()) {
    return OrderResolution::kReport;
  }
  std::erase_if(orders_, [&](const Order& order) {
    return Settled(order.lost_at_, now);
  });
  return pending && !unresolved() ? std::optional(OrderResolution::kSettled)
                                  : std::nullopt;
}

std::optional<OrderResolution> StagingGuard::OnEngineRestarted() noexcept {
  const bool pending = unresolved();
  orders_.clear();
  writes_.clear();
  predecessor_ = false;
  return pending ? std::optional(OrderResolution::kRestart) : std::nullopt;
}

bool StagingGuard::MayWrite(std::uint64_t version) const {
  const bool predecessor_allows =
      !predecessor_ || predecessor_version_ == version;
  return predecessor_allows &&
         std::ranges::all_of(orders_, [&](const Order& order) {
           return order.version_ == version;
         });
}

bool StagingGuard::MayOrder(std::uint64_t version) const {
  return MayWrite(version) &&
         std::ranges::all_of(writes_, [&](const Write& write) {
           return write.version_ == version;
         });
}

std::optional<core::TimePoint> StagingGuard::unresolved_since() const {
  return orders_.empty() ? std::nullopt
                         : std::optional(orders_.front().sent_at_);
}

}  // namespace chalkwell::rollout
