// Histogram of the recent times to the deadline of each route, by value and,
// where values do not repeat, by bin.
#include "chalkwell/routing/request_age_estimator.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::routing {
namespace {

/// Requests kept per route: a few seconds of the requests of one entry.
constexpr std::size_t kHistorySize = 192;
/// With fewer requests the bins are not used.
constexpr std::size_t kMinSamples = 8;
/// A time that occurs this often in the history is that of first attempts: of
/// times scattered over seconds, three are rarely equal by chance.
constexpr std::uint32_t kFrequent = 3;
/// Bins between zero and the longest time; ages below the width of a bin are
/// reported as zero.
constexpr std::int64_t kBins = 12;
/// The bins from that of the longest times onwards are dense, until one has
/// less than this fraction of the mean count of those before it. In AgeByBin, a
/// bin with less than this fraction of the mean count of the dense bins is
/// taken to hold only retries.
constexpr double kDenseFraction = 0.6;
/// Maximum number of routes; when it is exceeded, all are discarded.
constexpr std::size_t kMaxRoutes = 4096;

using Counts = std::map<std::int64_t, std::uint32_t>;

/// @brief Requests in one bin.
struct Bin {
  std::uint32_t count_ = 0;
  /// Those of them whose time occurs at least kFrequent times.
  std::uint32_t frequent_ = 0;
  /// Shortest time in the bin; its upper edge if it is empty.
  std::int64_t shortest_ms_ = 0;
};

std::int64_t BinWidth(const Counts& counts) {
  return std::max<std::int64_t>(1, counts.rbegin()->first / kBins);
}

/// @param index 0 is the bin of the longest times; later ones hold shorter
/// times.
Bin BinAt(const Counts& counts, std::int64_t index) {
  const auto width = BinWidth(counts);
  const auto highest = counts.rbegin()->first - index * width;
  Bin bin{.shortest_ms_ = highest};
  for (auto time = counts.upper_bound(highest - width);
       time != counts.end() && time->first <= highest; ++time) {
    bin.shortest_ms_ = bin.count_ == 0 ? time->first : bin.shortest_ms_;
    bin.count_ += time->second;
    bin.frequent_ += time->second >= kFrequent ? time->second : 0;
  }
  return bin;
}

/// Mean count of the first bin and of the dense bins that follow it.
double MeanDenseCount(const Counts& counts) {
  double total = BinAt(counts, 0).count_;
  std::int64_t bins = 1;
  for (; bins < kBins; ++bins) {
    const double count = BinAt(counts, bins).count_;
    if (count * static_cast<double>(bins) < kDenseFraction * total) {
      break;
    }
    total += count;
  }
  return total / static_cast<double>(bins);
}

/// Age where callers use a few fixed timeouts; none if no time of at least
/// `left_ms` is frequent. Several timeouts may occur on one route, so the age
/// is measured from the shortest frequent time that is not below `left_ms`.
std::optional<std::int64_t> AgeByValue(const Counts& counts,
                                       std::int64_t left_ms) {
  for (auto next = counts.lower_bound(left_ms); next != counts.end(); ++next) {
    if (next->second >= kFrequent) {
      return next->first - left_ms;
    }
  }
  return std::nullopt;
}

/// Lower bound of the age where callers set times from a range.
std::int64_t AgeByBin(const Counts& counts, std::int64_t left_ms) {
  const auto min_count = kDenseFraction * MeanDenseCount(counts);
  const auto width = BinWidth(counts);
  auto index = (counts.rbegin()->first - left_ms) / width;
  auto bin = BinAt(counts, index);
  while (index > 0 && bin.count_ < min_count) {
    bin = BinAt(counts, --index);
  }
  const auto age = bin.shortest_ms_ - left_ms;
  return age < width ? 0 : age;
}

}  // namespace

core::Duration RequestAgeEstimator::AddAndEstimate(const std::string& route,
                                                   core::Duration time_left) {
  if (routes_.size() >= kMaxRoutes && !routes_.contains(route)) {
    routes_.clear();
  }
  auto& history = routes_[route];
  const auto left_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(time_left).count();
  history.last_.push_back(left_ms);
  ++history.counts_[left_ms];
  if (history.last_.size() > kHistorySize) {
    const auto oldest = history.counts_.find(history.last_.front());
    if (--oldest->second == 0) {
      history.counts_.erase(oldest);
    }
    history.last_.pop_front();
  }
  const auto longest = history.counts_.rbegin()->first;
  if (history.last_.size() < kMinSamples) {
    return std::chrono::milliseconds(
        AgeByValue(history.counts_, left_ms).value_or(longest - left_ms));
  }
  const auto first = BinAt(history.counts_, 0);
  // Uses AgeByValue if at least half of the requests in the first bin, that of
  // the longest times, have a time that kFrequent or more requests share.
  const bool repeats = 2 * first.frequent_ >= first.count_;
  return std::chrono::milliseconds(
      repeats ? AgeByValue(history.counts_, left_ms).value_or(0)
              : AgeByBin(history.counts_, left_ms));
}

}  // namespace chalkwell::routing
