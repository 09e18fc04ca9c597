// Delegates are the watchers of published documents, which receive changes
// first.
#include "chalkwell/membership/propagation_plan.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {
namespace {

std::uint64_t Score(const Member& member) { return WatcherScore(member.id_); }

std::size_t MembersPerDomain(DelegateFanout fanout) {
  switch (fanout) {
    case DelegateFanout::kOneDelegate:
      return 1;
    case DelegateFanout::kTwoDelegates:
      return kWatchersPerDomain;
    case DelegateFanout::kDelegatesAndSpare:
      return kWatchersPerDomain + 1;
  }
  return kWatchersPerDomain;
}

}  // namespace

PropagationPlan::PropagationPlan(Member self, std::vector<Member> live)
    : self_(std::move(self)) {
  std::erase_if(live, &Member::leaving_);
  for (auto& member : live) {
    const bool local = member.domain_ == self_.domain_;
    (local ? local_ : remote_).push_back(std::move(member));
  }
}

std::vector<Member> PropagationPlan::RemoteDelegates(
    std::size_t per_domain) const {
  auto delegates = remote_;
  std::ranges::sort(delegates, std::ranges::greater{}, Score);
  std::map<core::FailureDomainId, std::size_t> counts;
  std::erase_if(delegates, [&](const Member& member) {
    return ++counts[member.domain_] > per_domain;
  });
  return delegates;
}

std::vector<Member> PropagationPlan::AnnounceTargets(
    DelegateFanout fanout) const {
  auto targets = RemoteDelegates(MembersPerDomain(fanout));
  targets.insert(targets.end(), local_.begin(), local_.end());
  return targets;
}

std::vector<Member> PropagationPlan::ForwardTargets(
    const core::FailureDomainId& sender_domain) const {
  if (sender_domain == self_.domain_) {
    return {};
  }
  const auto own_score = Score(self_);
  const auto ahead = std::ranges::count_if(
      local_, [&](const Member& member) { return Score(member) > own_score; });
  return static_cast<std::size_t>(ahead) < kWatchersPerDomain
             ? local_
             : std::vector<Member>{};
}

}  // namespace chalkwell::membership
