// Requests that have been received for long are ended first: those that never
// end become the oldest.
#include "chalkwell/routing/request_memory.hpp"

#include <algorithm>

namespace chalkwell::routing {

RequestMemory::HolderId RequestMemory::Add() {
  const auto id = ++last_id_;
  holders_.try_emplace(id);
  return id;
}

void RequestMemory::Remove(HolderId holder) {
  const auto found = holders_.find(holder);
  if (found == holders_.end()) {
    return;
  }
  Resize(found->second, 0);
  if (found->second.receiving_) {
    receiving_.erase({found->second.since_, holder});
  }
  holders_.erase(found);
}

void RequestMemory::BeginReceiving(HolderId holder, core::TimePoint since) {
  EndReceiving(holder);
  const auto found = holders_.find(holder);
  if (found == holders_.end()) {
    return;
  }
  found->second.receiving_ = true;
  found->second.since_ = since;
  receiving_.emplace(since, holder);
}

void RequestMemory::EndReceiving(HolderId holder) {
  const auto found = holders_.find(holder);
  if (found == holders_.end() || !found->second.receiving_) {
    return;
  }
  found->second.receiving_ = false;
  receiving_.erase({found->second.since_, holder});
}

RequestMemory::Growth RequestMemory::Grow(HolderId holder, std::size_t bytes,
                                          core::TimePoint now) {
  const auto found = holders_.find(holder);
  if (found == holders_.end()) {
    return {};
  }
  const auto own = found->second.bytes_;
  if (bytes <= own) {
    Resize(found->second, bytes);
    return {.granted_ = true};
  }
  const auto held = held_ - own;
  const auto held_large = held_large_ - (IsLarge(own) ? own : 0);
  Growth growth;
  if (!Fits(bytes, held, held_large)) {
    growth.ended_ = SelectEnded(holder, bytes, held, held_large, now);
    if (growth.ended_.empty()) {
      return growth;
    }
    for (const auto ended : growth.ended_) {
      Remove(ended);
    }
  }
  growth.granted_ = true;
  Resize(found->second, bytes);
  return growth;
}

void RequestMemory::Set(HolderId holder, std::size_t bytes) {
  const auto found = holders_.find(holder);
  if (found != holders_.end()) {
    Resize(found->second, bytes);
  }
}

core::Duration RequestMemory::RetryAfter(core::TimePoint now) const {
  const auto oldest = receiving_.begin();
  const auto wait = oldest == receiving_.end()
                        ? settings_.protected_time_
                        : oldest->first + settings_.protected_time_ - now;
  return std::max(wait, settings_.min_retry_after_);
}

bool RequestMemory::Fits(std::size_t bytes, std::size_t held,
                         std::size_t held_large) const noexcept {
  const bool fits_total = held + bytes <= settings_.total_bytes_;
  if (!IsLarge(bytes)) {
    return fits_total;
  }
  if (held_large == 0 && bytes <= largest_) {
    return true;
  }
  const auto for_large =
      static_cast<std::size_t>(static_cast<double>(settings_.total_bytes_) *
                               (1 - settings_.small_share_));
  return fits_total && held_large + bytes <= for_large;
}

std::vector<RequestMemory::HolderId> RequestMemory::SelectEnded(
    HolderId holder, std::size_t bytes, std::size_t held,
    std::size_t held_large, core::TimePoint now) const {
  std::vector<HolderId> selected;
  for (const auto& [since, id] : receiving_) {
    if (since + settings_.protected_time_ > now) {
      break;
    }
    const auto candidate = holders_.at(id).bytes_;
    if (id == holder || candidate == 0) {
      continue;
    }
    selected.push_back(id);
    held -= candidate;
    held_large -= IsLarge(candidate) ? candidate : 0;
    if (Fits(bytes, held, held_large)) {
      return selected;
    }
  }
  return {};
}

void RequestMemory::Resize(Holder& holder, std::size_t bytes) noexcept {
  const auto large = [this](std::size_t size) {
    return IsLarge(size) ? size : 0;
  };
  held_ += bytes - holder.bytes_;
  held_large_ += large(bytes) - large(holder.bytes_);
  holder.bytes_ = bytes;
}

}  // namespace chalkwell::routing
