// Round robin over entries.
#include "chalkwell/routing/slot_queue.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::routing {

std::size_t SlotQueue::active_entries(core::TimePoint now) const {
  const auto active = std::ranges::count_if(last_offer_, [&](const auto& item) {
    return now - item.second <= limits_.entry_activity_window_;
  });
  return std::max<std::size_t>(1, static_cast<std::size_t>(active));
}

SlotDecision SlotQueue::Offer(std::uint64_t attempt,
                              const core::InstanceId& entry,
                              core::TimePoint now) {
  std::erase_if(last_offer_, [&](const auto& item) {
    return now - item.second > limits_.entry_activity_window_;
  });
  last_offer_[entry] = now;
  if (in_use_ < limits_.capacity_ && waiting_ == 0) {
    ++in_use_;
    return SlotDecision::kStart;
  }
  if (waiting_ >= limits_.max_waiting_) {
    return SlotDecision::kFull;
  }
  auto& queue = queues_[entry];
  if (queue.empty()) {
    order_.push_back(entry);
  }
  queue.push_back(attempt);
  ++waiting_;
  return SlotDecision::kWait;
}

std::optional<std::uint64_t> SlotQueue::Next() {
  if (in_use_ >= limits_.capacity_ || order_.empty()) {
    return std::nullopt;
  }
  const auto entry = std::move(order_.front());
  order_.pop_front();
  const auto queue = queues_.find(entry);
  const auto attempt = queue->second.front();
  queue->second.pop_front();
  if (queue->second.empty()) {
    queues_.erase(queue);
  } else {
    order_.push_back(entry);
  }
  --waiting_;
  ++in_use_;
  return attempt;
}

bool SlotQueue::Remove(std::uint64_t attempt) {
  for (auto& [entry, queue] : queues_) {
    const auto found = std::ranges::find(queue, attempt);
    if (found == queue.end()) {
      continue;
    }
    queue.erase(found);
    --waiting_;
    if (queue.empty()) {
      std::erase(order_, entry);
      queues_.erase(core::InstanceId(entry));
    }
    return true;
  }
  return false;
}

std::vector<std::uint64_t> SlotQueue::TakeWaiting() {
  std::vector<std::uint64_t> attempts;
  for (const auto& [entry, queue] : queues_) {
    attempts.insert(attempts.end(), queue.begin(), queue.end());
  }
  queues_.clear();
  order_.clear();
  waiting_ = 0;
  return attempts;
}

}  // namespace chalkwell::routing
