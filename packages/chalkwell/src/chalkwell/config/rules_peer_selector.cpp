// Among several that have the rules, each process asks another one first.
#include "chalkwell/config/rules_peer_selector.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::config {

RulesPeerSelector::RulesPeerSelector(core::InstanceId self,
                                     RulesPeerSelectorSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void RulesPeerSelector::OnAnnounced(const RulesSource& source,
                                    std::uint64_t version,
                                    core::TimePoint now) {
  if (version <= version_) {
    return;
  }
  auto& known = sources_[source.id_];
  known.version_ = std::max(known.version_, version);
  known.near_ = source.near_;
  newest_ = std::max(newest_, version);
  if (!behind_since_) {
    behind_since_ = now;
  }
}

void RulesPeerSelector::OnApplied(std::uint64_t version, core::TimePoint now) {
  version_ = std::max(version_, version);
  std::erase_if(sources_, [this](const auto& entry) {
    return entry.second.version_ <= version_;
  });
  if (newest_ <= version_) {
    behind_since_.reset();
  } else {
    // Progress: in a series of changes the newest is always a little ahead.
    behind_since_ = now;
  }
}

void RulesPeerSelector::OnFetchEnded(const core::InstanceId& id, bool helped,
                                     core::TimePoint now) {
  if (asked_ && asked_->id_ == id) {
    asked_.reset();
  }
  const auto found = sources_.find(id);
  if (!helped && found != sources_.end()) {
    found->second.rests_until_ = now + settings_.rest_;
  }
}

bool RulesPeerSelector::Usable(const Source& source, bool watches,
                               core::TimePoint now) const {
  const auto behind = now - *behind_since_;
  const auto least =
      watches ? settings_.watch_grace_
              : (source.near_ ? core::Duration{} : settings_.near_first_);
  return source.version_ > version_ && now >= source.rests_until_ &&
         behind >= least;
}

std::optional<core::InstanceId> RulesPeerSelector::Next(bool watches,
                                                        core::TimePoint now) {
  if (asked_ && now - asked_->since_ >= settings_.answer_time_) {
    OnFetchEnded(core::InstanceId(asked_->id_), false, now);
  }
  if (!behind_since_ || asked_) {
    return std::nullopt;
  }
  const core::InstanceId* best = nullptr;
  std::tuple<bool, std::uint64_t, std::uint64_t> best_key;
  for (const auto& [id, source] : sources_) {
    const std::tuple key(source.near_, source.version_,
                         core::RendezvousScore(self_.value(), id.value()));
    if (Usable(source, watches, now) && (best == nullptr || key > best_key)) {
      best = &id;
      best_key = key;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  asked_ = Ask{*best, now};
  return *best;
}

bool RulesPeerSelector::IsOverdue(core::TimePoint now) const {
  return behind_since_ && now - *behind_since_ >= settings_.patience_;
}

}  // namespace chalkwell::config
