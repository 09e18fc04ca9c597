// The rate is that of the last second.
#include "chalkwell/swarm/origin_progress.hpp"

#include <chrono>

namespace chalkwell::swarm {
namespace {

/// Long against the gaps between pieces of a source of a few Mbit/s, short
/// against an outage.
constexpr auto kSpan = std::chrono::seconds(1);

}  // namespace

void OriginProgress::Start(std::size_t pieces, core::TimePoint now) {
  pieces_ = pieces;
  started_ = now;
  samples_.clear();
}

void OriginProgress::OnAvailable(std::size_t seen, core::TimePoint now) {
  if (samples_.empty() || seen != samples_.back().seen_) {
    samples_.push_back({now, seen});
  }
  while (samples_.size() > 1 && now - samples_[1].at_ >= kSpan) {
    samples_.pop_front();
  }
}

bool OriginProgress::HasRate(core::TimePoint now) const {
  return now - started_ >= kSpan;
}

std::optional<core::Duration> OriginProgress::TimeLeft(
    core::TimePoint now) const {
  if (pieces_ == 0 || samples_.empty()) {
    return std::nullopt;
  }
  const auto seen = samples_.back().seen_;
  if (seen >= pieces_) {
    return core::Duration{};
  }
  const auto appeared = seen - samples_.front().seen_;
  if (!HasRate(now) || appeared == 0 || now - samples_.back().at_ >= kSpan) {
    return std::nullopt;
  }
  const auto span = now - samples_.front().at_;
  const auto left = static_cast<double>(pieces_ - seen);
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, core::Duration::period>(span) * left /
      static_cast<double>(appeared));
}

}  // namespace chalkwell::swarm
