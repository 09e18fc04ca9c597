// Peers that have the rules are ranked by rendezvous hashing, so that the
// requests of different processes spread over them.
#include "chalkwell/config/rules_peer_selector.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::config {

AnnounceScope AnnounceScopeOf(RulesOrigin origin, bool watches) noexcept {
  if (watches || origin == RulesOrigin::kStore) {
    return AnnounceScope::kAllDomains;
  }
  // The watchers of the local domain lack them, so nobody announced them there.
  return origin == RulesOrigin::kRemotePeer ? AnnounceScope::kLocalDomain
                                            : AnnounceScope::kNone;
}

RulesPeerSelector::RulesPeerSelector(core::InstanceId self,
                                     RulesPeerSelectorSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void RulesPeerSelector::OnAnnounced(const RulesSource& source,
                                    std::uint64_t version,
                                    core::TimePoint now) {
  if (version <= version_) {
    return;
  }
  announced_.OnAnnounced(version, source.id_, now);
  auto& known = sources_[source.id_];
  known.version_ = std::max(known.version_, version);
  known.local_ = source.local_;
}

void RulesPeerSelector::OnApplied(std::uint64_t version) {
  version_ = std::max(version_, version);
  announced_.OnApplied(version_);
  std::erase_if(sources_, [this](const auto& entry) {
    return entry.second.version_ <= version_;
  });
}

void RulesPeerSelector::OnFetchEnded(const core::InstanceId& id, bool succeeded,
                                     core::TimePoint now) {
  if (pending_ && pending_->id_ == id) {
    pending_.reset();
  }
  const auto found = sources_.find(id);
  if (!succeeded && found != sources_.end()) {
    found->second.retry_at_ = now + settings_.retry_delay_;
  }
}

bool RulesPeerSelector::IsEligible(const Source& source, bool watches,
                                   core::TimePoint now) const {
  const auto min_delay =
      watches ? settings_.watch_delay_
              : (source.local_ ? core::Duration{} : settings_.remote_delay_);
  return source.version_ > version_ && now >= source.retry_at_ &&
         announced_.LagAt(now) >= min_delay;
}

std::optional<core::InstanceId> RulesPeerSelector::Next(bool watches,
                                                        core::TimePoint now) {
  if (pending_ && now - pending_->since_ >= settings_.response_timeout_) {
    OnFetchEnded(core::InstanceId(pending_->id_), false, now);
  }
  if (announced_.empty() || pending_) {
    return std::nullopt;
  }
  // A peer of the local domain that lacks a version which is known for this
  // long follows watchers that are behind themselves.
  const auto due = announced_.NewestAt(now - settings_.remote_delay_);
  const core::InstanceId* best = nullptr;
  std::tuple<bool, bool, std::uint64_t, std::uint64_t> best_key;
  for (const auto& [id, source] : sources_) {
    const std::tuple key(source.version_ >= due, source.local_, source.version_,
                         core::RendezvousScore(self_.value(), id.value()));
    if (IsEligible(source, watches, now) &&
        (best == nullptr || key > best_key)) {
      best = &id;
      best_key = key;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  pending_ = Request{*best, now};
  return *best;
}

bool RulesPeerSelector::IsOverdue(core::TimePoint now,
                                  core::Duration delay) const {
  return announced_.LagAt(now) >= settings_.max_lag_ + delay;
}

}  // namespace chalkwell::config
