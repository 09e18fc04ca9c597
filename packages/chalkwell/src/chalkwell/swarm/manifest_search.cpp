// Each member has an order of holders of its own: all would ask the same one
// else, and its link carries some 150 manifests a second.
#include "chalkwell/swarm/manifest_search.hpp"

#include <utility>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::swarm {

ManifestSearch::ManifestSearch(SwarmMember self,
                               ManifestSearchSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void ManifestSearch::Start(core::TimePoint now) {
  started_ = now;
  asked_at_.reset();
  asked_.clear();
}

const SwarmMember* ManifestSearch::Best(
    std::span<const SwarmMember> holders) const {
  const SwarmMember* best = nullptr;
  std::pair<bool, std::uint64_t> best_key;
  for (const auto& holder : holders) {
    const std::pair key(
        holder.domain_ == self_.domain_,
        core::RendezvousScore(self_.id_.value(), holder.id_.value()));
    const bool asked = asked_.contains(holder.id_);
    if (!asked && (best == nullptr || key > best_key)) {
      best = &holder;
      best_key = key;
    }
  }
  return best;
}

std::optional<ManifestSource> ManifestSearch::Next(
    std::span<const SwarmMember> holders,
    std::optional<std::size_t> origin_rank, core::TimePoint now) {
  if (asked_at_ && now - *asked_at_ < settings_.patience_) {
    return std::nullopt;
  }
  if (const auto* holder = Best(holders)) {
    asked_at_ = now;
    asked_.insert(holder->id_);
    return ManifestSource{holder->id_};
  }
  const bool origin =
      origin_rank &&
      now - started_ >= settings_.origin_step_ * static_cast<int>(*origin_rank);
  if (origin) {
    asked_at_ = now;
    asked_.clear();
    return ManifestSource{};
  }
  if (!holders.empty()) {
    // All were asked, and the origin cannot be.
    asked_at_ = now;
    asked_.clear();
  }
  return std::nullopt;
}

}  // namespace chalkwell::swarm
