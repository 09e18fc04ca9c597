// Delegates are those who watch what is published: they hear first.
#include "chalkwell/membership/propagation_plan.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {
namespace {

std::uint64_t Rank(const Member& member) { return WatcherScore(member.id_); }

}  // namespace

PropagationPlan::PropagationPlan(Member self, std::vector<Member> live)
    : self_(std::move(self)) {
  std::erase_if(live, &Member::leaving_);
  for (auto& member : live) {
    const bool near = member.domain_ == self_.domain_;
    (near ? near_ : far_).push_back(std::move(member));
  }
}

std::vector<Member> PropagationPlan::RemoteDelegates(
    std::size_t of_each) const {
  auto order = far_;
  std::ranges::sort(order, std::ranges::greater{}, Rank);
  std::map<core::FailureDomainId, std::size_t> taken;
  std::erase_if(order, [&](const Member& member) {
    return ++taken[member.domain_] > of_each;
  });
  return order;
}

std::vector<Member> PropagationPlan::AnnounceTargets(
    DelegateFanout reach) const {
  auto targets = RemoteDelegates(
      reach == DelegateFanout::kTwoDelegates ? kWatchersPerDomain : 1);
  targets.insert(targets.end(), near_.begin(), near_.end());
  return targets;
}

std::vector<Member> PropagationPlan::ForwardTargets(
    const core::FailureDomainId& from) const {
  if (from == self_.domain_) {
    return {};
  }
  const auto own = Rank(self_);
  const auto ahead = std::ranges::count_if(
      near_, [&](const Member& member) { return Rank(member) > own; });
  return static_cast<std::size_t>(ahead) < kWatchersPerDomain
             ? near_
             : std::vector<Member>{};
}

}  // namespace chalkwell::membership
