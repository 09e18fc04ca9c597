// Each member ranks the holders in an order of its own. In a common order all
// members would send their requests to the same holder, whose link carries some
// 150 manifests per second.
#include "chalkwell/swarm/manifest_search.hpp"

#include <utility>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::swarm {

ManifestSearch::ManifestSearch(SwarmMember self,
                               ManifestSearchSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void ManifestSearch::Start(core::TimePoint now) {
  started_ = now;
  last_request_at_.reset();
  requested_peers_.clear();
}

const SwarmMember* ManifestSearch::BestHolder(
    std::span<const SwarmMember> holders) const {
  const SwarmMember* best = nullptr;
  std::pair<bool, std::uint64_t> best_key;
  for (const auto& holder : holders) {
    const std::pair key(
        holder.domain_ == self_.domain_,
        core::RendezvousScore(self_.id_.value(), holder.id_.value()));
    const bool requested = requested_peers_.contains(holder.id_);
    if (!requested && (best == nullptr || key > best_key)) {
      best = &holder;
      best_key = key;
    }
  }
  return best;
}

std::optional<ManifestSource> ManifestSearch::Next(
    std::span<const SwarmMember> holders,
    std::optional<std::size_t> origin_rank, core::TimePoint now) {
  if (last_request_at_ && now - *last_request_at_ < settings_.hedge_delay_) {
    return std::nullopt;
  }
  if (const auto* holder = BestHolder(holders)) {
    last_request_at_ = now;
    requested_peers_.insert(holder->id_);
    return ManifestSource{holder->id_};
  }
  const bool use_origin =
      origin_rank && now - started_ >= settings_.origin_rank_delay_ *
                                           static_cast<int>(*origin_rank);
  if (use_origin) {
    last_request_at_ = now;
    requested_peers_.clear();
    return ManifestSource{};
  }
  if (!holders.empty()) {
    // All holders were sent a request and the origin must not be: start over.
    last_request_at_ = now;
    requested_peers_.clear();
  }
  return std::nullopt;
}

}  // namespace chalkwell::swarm
