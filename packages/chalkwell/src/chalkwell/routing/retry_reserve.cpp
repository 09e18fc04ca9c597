// This entry's part of the deployment's retry reserve.
#include "chalkwell/routing/retry_reserve.hpp"

namespace chalkwell::routing {
namespace {

/// Part of the reserve that is divided. The rest covers attempts that arrive
/// later than they were counted, since their connections open late.
constexpr double kDividedShare = 0.9;

}  // namespace

RetryAllowance RetryReserve::PartOf(DeploymentParts& parts,
                                    core::TimePoint now) const noexcept {
  if (!parts.known(now)) {
    return AllowanceOf(0);
  }
  auto part = AllowanceOf(kDividedShare * total_ /
                          static_cast<double>(parts.Count(now)));
  if (now - started_ < window_) {
    part.reserve_ = 0;
  }
  return part;
}

}  // namespace chalkwell::routing
