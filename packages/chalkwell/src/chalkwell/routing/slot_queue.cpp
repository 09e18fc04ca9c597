// Round robin over senders.
#include "chalkwell/routing/slot_queue.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::routing {

std::size_t SlotQueue::active_senders(core::TimePoint now) const {
  const auto active = std::ranges::count_if(last_offer_, [&](const auto& item) {
    return now - item.second <= limits_.sender_activity_window_;
  });
  return std::max<std::size_t>(1, static_cast<std::size_t>(active));
}

SlotDecision SlotQueue::Offer(std::uint64_t run, const core::InstanceId& sender,
                              core::TimePoint now) {
  std::erase_if(last_offer_, [&](const auto& item) {
    return now - item.second > limits_.sender_activity_window_;
  });
  last_offer_[sender] = now;
  if (in_use_ < limits_.capacity_ && waiting_ == 0) {
    ++in_use_;
    return SlotDecision::kStart;
  }
  if (waiting_ >= limits_.max_waiting_) {
    return SlotDecision::kFull;
  }
  auto& queue = queues_[sender];
  if (queue.empty()) {
    order_.push_back(sender);
  }
  queue.push_back(run);
  ++waiting_;
  return SlotDecision::kWait;
}

std::optional<std::uint64_t> SlotQueue::Next() {
  if (in_use_ >= limits_.capacity_ || order_.empty()) {
    return std::nullopt;
  }
  const auto sender = std::move(order_.front());
  order_.pop_front();
  const auto queue = queues_.find(sender);
  const auto run = queue->second.front();
  queue->second.pop_front();
  if (queue->second.empty()) {
    queues_.erase(queue);
  } else {
    order_.push_back(sender);
  }
  --waiting_;
  ++in_use_;
  return run;
}

bool SlotQueue::Remove(std::uint64_t run) {
  for (auto& [sender, queue] : queues_) {
    const auto found = std::ranges::find(queue, run);
    if (found == queue.end()) {
      continue;
    }
    queue.erase(found);
    --waiting_;
    if (queue.empty()) {
      std::erase(order_, sender);
      queues_.erase(core::InstanceId(sender));
    }
    return true;
  }
  return false;
}

std::vector<std::uint64_t> SlotQueue::TakeWaiting() {
  std::vector<std::uint64_t> runs;
  for (const auto& [sender, queue] : queues_) {
    runs.insert(runs.end(), queue.begin(), queue.end());
  }
  queues_.clear();
  order_.clear();
  waiting_ = 0;
  return runs;
}

}  // namespace chalkwell::routing
