// Other failure domains give in turn, so that each is in every subset.
#include "chalkwell/routing/endpoint_subset.hpp"

#include <algorithm>
#include <map>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::routing {
namespace {

using Candidates = std::vector<SubsetCandidate>;

/// Candidates of other failure domains, one of each domain in turn.
Candidates InTurn(const Candidates& ranked) {
  std::map<core::FailureDomainId, std::size_t> taken;
  std::vector<std::pair<std::size_t, SubsetCandidate>> order;
  for (const auto& candidate : ranked) {
    order.emplace_back(taken[candidate.domain_]++, candidate);
  }
  std::ranges::stable_sort(order, {},
                           [](const auto& entry) { return entry.first; });
  Candidates in_turn;
  for (auto& [turn, candidate] : order) {
    in_turn.push_back(std::move(candidate));
  }
  return in_turn;
}

void Append(const Candidates& from, std::size_t most,
            std::vector<core::InstanceId>& to) {
  for (std::size_t i = 0; i < std::min(most, from.size()); ++i) {
    to.push_back(from[i].id_);
  }
}

}  // namespace

std::uint64_t SubsetRank(const core::InstanceId& entry,
                         const core::InstanceId& endpoint) {
  return core::RendezvousScore(entry.value(), endpoint.value());
}

std::vector<core::InstanceId> ChooseSubset(
    const core::FailureDomainId& domain,
    std::span<const SubsetCandidate> candidates,
    const EndpointSubsetSettings& settings) {
  Candidates ranked(candidates.begin(), candidates.end());
  std::ranges::sort(ranked, std::ranges::greater{}, &SubsetCandidate::rank_);
  Candidates near;
  Candidates far;
  Candidates warming;
  Candidates far_warming;
  for (const auto& candidate : ranked) {
    const bool own = candidate.domain_ == domain;
    if (candidate.serves_) {
      (own ? near : far).push_back(candidate);
    } else {
      (own ? warming : far_warming).push_back(candidate);
    }
  }
  far = InTurn(far);
  far_warming = InTurn(far_warming);
  std::vector<core::InstanceId> subset;
  const auto far_least =
      settings.all_ - std::min(settings.near_, settings.all_);
  const auto far_taken = std::min(far.size(), far_least);
  const auto near_taken = std::min(near.size(), settings.all_ - far_taken);
  Append(near, near_taken, subset);
  Append(far, settings.all_ - near_taken, subset);
  Append(warming, settings.warming_, subset);
  const auto room = settings.all_ - std::min(settings.all_, subset.size());
  Append(far_warming, room, subset);
  return subset;
}

}  // namespace chalkwell::routing
