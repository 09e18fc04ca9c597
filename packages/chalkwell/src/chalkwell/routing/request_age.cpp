// Frequent times in a window of the last requests.
#include "chalkwell/routing/request_age.hpp"

namespace chalkwell::routing {
namespace {

/// Requests of a route that are remembered: some seconds of one entry's share.
constexpr std::size_t kMemory = 96;
/// A time seen this often among them is that of fresh requests: of 96 scattered
/// over six seconds, three are equal by chance in one of 250 windows.
constexpr std::uint32_t kFrequent = 3;
/// Routes remembered; more are forgotten together.
constexpr std::size_t kMaxRoutes = 4096;

}  // namespace

core::Duration RequestAge::OnRequest(const std::string& route,
                                     core::Duration time_left) {
  if (routes_.size() >= kMaxRoutes && !routes_.contains(route)) {
    routes_.clear();
  }
  auto& seen = routes_[route];
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(time_left).count();
  seen.last_.push_back(left);
  ++seen.counts_[left];
  if (seen.last_.size() > kMemory) {
    const auto oldest = seen.counts_.find(seen.last_.front());
    if (--oldest->second == 0) {
      seen.counts_.erase(oldest);
    }
    seen.last_.pop_front();
  }
  // Callers of different kinds may share a route: the next time above counts.
  for (auto next = seen.counts_.lower_bound(left); next != seen.counts_.end();
       ++next) {
    if (next->second >= kFrequent) {
      return std::chrono::milliseconds(next->first - left);
    }
  }
  const bool knows_little = seen.last_.size() < kMemory;
  return std::chrono::milliseconds(
      knows_little ? seen.counts_.rbegin()->first - left : 0);
}

}  // namespace chalkwell::routing
