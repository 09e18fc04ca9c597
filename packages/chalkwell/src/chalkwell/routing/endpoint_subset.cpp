// Remote endpoints are taken from their failure domains in turn, so that a
// subset spans as many domains as possible.
#include "chalkwell/routing/endpoint_subset.hpp"

#include <algorithm>
#include <map>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::routing {
namespace {

using Candidates = std::vector<SubsetCandidate>;

/// Orders candidates round-robin over their failure domains.
Candidates InterleaveDomains(const Candidates& ranked) {
  std::map<core::FailureDomainId, std::size_t> rounds;
  std::vector<std::pair<std::size_t, SubsetCandidate>> order;
  for (const auto& candidate : ranked) {
    order.emplace_back(rounds[candidate.domain_]++, candidate);
  }
  std::ranges::stable_sort(order, {},
                           [](const auto& entry) { return entry.first; });
  Candidates interleaved;
  for (auto& [round, candidate] : order) {
    interleaved.push_back(std::move(candidate));
  }
  return interleaved;
}

void Append(const Candidates& from, std::size_t max_count,
            std::vector<core::InstanceId>& to) {
  for (std::size_t i = 0; i < std::min(max_count, from.size()); ++i) {
    to.push_back(from[i].id_);
  }
}

}  // namespace

std::uint64_t SubsetScore(const core::InstanceId& entry,
                          const core::InstanceId& endpoint) {
  return core::RendezvousScore(entry.value(), endpoint.value());
}

std::vector<core::InstanceId> ChooseSubset(
    const core::FailureDomainId& domain,
    std::span<const SubsetCandidate> candidates,
    const EndpointSubsetSettings& settings) {
  Candidates ranked(candidates.begin(), candidates.end());
  std::ranges::sort(ranked, std::ranges::greater{}, &SubsetCandidate::score_);
  Candidates local;
  Candidates remote;
  Candidates local_without_weights;
  Candidates remote_without_weights;
  for (const auto& candidate : ranked) {
    const bool is_local = candidate.domain_ == domain;
    if (candidate.can_serve_) {
      (is_local ? local : remote).push_back(candidate);
    } else {
      (is_local ? local_without_weights : remote_without_weights)
          .push_back(candidate);
    }
  }
  remote = InterleaveDomains(remote);
  remote_without_weights = InterleaveDomains(remote_without_weights);
  std::vector<core::InstanceId> subset;
  const auto reserved_for_remote =
      settings.max_serving_ -
      std::min(settings.reserved_local_, settings.max_serving_);
  const auto remote_count = std::min(remote.size(), reserved_for_remote);
  const auto local_count =
      std::min(local.size(), settings.max_serving_ - remote_count);
  Append(local, local_count, subset);
  Append(remote, settings.max_serving_ - local_count, subset);
  Append(local_without_weights, settings.max_without_weights_, subset);
  const auto unused =
      settings.max_serving_ - std::min(settings.max_serving_, subset.size());
  Append(remote_without_weights, unused, subset);
  return subset;
}

}  // namespace chalkwell::routing
