// Affinity uses rendezvous hashing with bounded loads.
#include "chalkwell/routing/affinity_chooser.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::routing {
namespace {

double MeanLoad(const std::vector<Candidate>& candidates) {
  double sum = 0;
  for (const auto& candidate : candidates) {
    sum += candidate.load();
  }
  return sum / static_cast<double>(candidates.size());
}

const Candidate& PreferredEndpoint(const std::vector<Candidate>& candidates,
                                   std::string_view prefix) {
  return *std::ranges::max_element(candidates, {}, [&](const Candidate& c) {
    return core::RendezvousScore(prefix, c.id_.value());
  });
}

}  // namespace

double Candidate::load() const noexcept {
  const auto requests = std::max(in_flight_, reported_load_);
  return static_cast<double>(requests) / static_cast<double>(capacity_);
}

AffinityChooser::AffinityChooser(core::FailureDomainId local_domain,
                                 AffinityChooserSettings settings,
                                 std::uint64_t seed)
    : local_domain_(std::move(local_domain)),
      settings_(settings),
      random_(seed) {}

std::optional<core::InstanceId> AffinityChooser::Choose(
    std::span<const Candidate> candidates, std::string_view prefix) {
  std::vector<Candidate> pool;
  std::ranges::copy_if(candidates, std::back_inserter(pool),
                       [&](const Candidate& candidate) {
                         return candidate.domain_ == local_domain_ &&
                                candidate.load() < settings_.spillover_load_;
                       });
  if (pool.empty()) {
    pool.assign(candidates.begin(), candidates.end());
  }
  if (pool.empty()) {
    return std::nullopt;
  }
  if (!prefix.empty()) {
    const auto& preferred = PreferredEndpoint(pool, prefix);
    // One request of slack: in a nearly idle pool a single request would exceed
    // the bound.
    const double slack = 1.0 / static_cast<double>(preferred.capacity_);
    if (preferred.load() <=
        settings_.affinity_bound_ * MeanLoad(pool) + slack) {
      return preferred.id_;
    }
  }
  std::uniform_int_distribution<std::size_t> distribution(0, pool.size() - 1);
  const auto& first = pool[distribution(random_)];
  const auto& second = pool[distribution(random_)];
  return first.load() <= second.load() ? first.id_ : second.id_;
}

}  // namespace chalkwell::routing
