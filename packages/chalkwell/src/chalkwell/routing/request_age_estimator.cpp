// The last times of each route, counted by value and, where they do not repeat,
// in bins.
#include "chalkwell/routing/request_age_estimator.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::routing {
namespace {

/// Requests of a route that are remembered: some seconds of one entry's share.
constexpr std::size_t kMemory = 192;
/// Fewer than this show no distribution.
constexpr std::size_t kLeast = 8;
/// A time seen this often among them is that of fresh requests: scattered over
/// seconds, three are seldom equal by chance.
constexpr std::uint32_t kFrequent = 3;
/// Bins between zero and the longest time; shorter ages are reported as zero.
constexpr std::int64_t kBins = 12;
/// A bin with less than this part of the usual count holds no fresh requests.
constexpr double kDense = 0.6;
/// Routes remembered; more are forgotten together.
constexpr std::size_t kMaxRoutes = 4096;

using Counts = std::map<std::int64_t, std::uint32_t>;

/// @brief Requests of one bin.
struct Bin {
  std::uint32_t count_ = 0;
  /// Of them, those whose time is frequent.
  std::uint32_t frequent_ = 0;
  std::int64_t lowest_ = 0;
};

std::int64_t WidthOf(const Counts& counts) {
  return std::max<std::int64_t>(1, counts.rbegin()->first / kBins);
}

/// @param number counted from the bin of the longest time.
Bin BinOf(const Counts& counts, std::int64_t number) {
  const auto width = WidthOf(counts);
  const auto highest = counts.rbegin()->first - number * width;
  Bin bin{.lowest_ = highest};
  for (auto time = counts.upper_bound(highest - width);
       time != counts.end() && time->first <= highest; ++time) {
    bin.lowest_ = bin.count_ == 0 ? time->first : bin.lowest_;
    bin.count_ += time->second;
    bin.frequent_ += time->second >= kFrequent ? time->second : 0;
  }
  return bin;
}

/// Mean count of the first bin and of the dense ones that follow it.
double UsualCount(const Counts& counts) {
  double total = BinOf(counts, 0).count_;
  std::int64_t bins = 1;
  for (; bins < kBins; ++bins) {
    const double count = BinOf(counts, bins).count_;
    if (count * static_cast<double>(bins) < kDense * total) {
      break;
    }
    total += count;
  }
  return total / static_cast<double>(bins);
}

/// Age where callers of one kind all give the same time; nothing when no time
/// above is frequent. Callers of different kinds may share a route: the next
/// time above counts.
std::optional<std::int64_t> AgeByValue(const Counts& counts,
                                       std::int64_t left) {
  for (auto next = counts.lower_bound(left); next != counts.end(); ++next) {
    if (next->second >= kFrequent) {
      return next->first - left;
    }
  }
  return std::nullopt;
}

/// Least age where callers of one kind give times from a range.
std::int64_t AgeByBin(const Counts& counts, std::int64_t left) {
  const auto dense = kDense * UsualCount(counts);
  const auto width = WidthOf(counts);
  auto number = (counts.rbegin()->first - left) / width;
  auto bin = BinOf(counts, number);
  while (number > 0 && bin.count_ < dense) {
    bin = BinOf(counts, --number);
  }
  const auto age = bin.lowest_ - left;
  return age < width ? 0 : age;
}

}  // namespace

core::Duration RequestAgeEstimator::AddAndEstimate(const std::string& route,
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
  const auto longest = seen.counts_.rbegin()->first;
  if (seen.last_.size() < kLeast) {
    return std::chrono::milliseconds(
        AgeByValue(seen.counts_, left).value_or(longest - left));
  }
  const auto first = BinOf(seen.counts_, 0);
  const bool repeats = 2 * first.frequent_ >= first.count_;
  return std::chrono::milliseconds(
      repeats ? AgeByValue(seen.counts_, left).value_or(0)
              : AgeByBin(seen.counts_, left));
}

}  // namespace chalkwell::routing
