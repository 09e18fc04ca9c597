// How entries share the rate limit of an endpoint.
#include "chalkwell/routing/rate_limit_senders.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

/// Window in which an endpoint's requests are counted, in seconds.
constexpr double kWindowSeconds = 4;
const core::FailureDomainId kDomain("d0");
const core::TimePoint kStart(1h);

/// Requests that the platform allows in a window.
double AllowedInWindow(double requests_per_second) {
  return 1.5 * requests_per_second * kWindowSeconds + 5;
}

core::InstanceId EntryId(std::size_t number) {
  return core::InstanceId("entry-" + std::to_string(number));
}

/// Entries of the local failure domain and one of a remote one, each with the
/// same knowledge.
std::vector<RateLimitSenders> MakeEntries(std::size_t count) {
  std::vector<RateLimitSenders> entries;
  for (std::size_t self = 0; self < count; ++self) {
    std::vector<EntryLocation> others{
        {core::InstanceId("remote"), core::FailureDomainId("d1")}};
    for (std::size_t other = 0; other < count; ++other) {
      if (other != self) {
        others.push_back({EntryId(other), kDomain});
      }
    }
    entries.emplace_back(EntryLocation{EntryId(self), kDomain});
    entries.back().SetEntries(others, true, kStart);
  }
  return entries;
}

TEST_CASE("senders together keep to the limit at any size", "[routing]") {
  const std::size_t entries = GENERATE(1, 2, 7, 65, 640);
  const double rate =
      GENERATE(as<double>{}, 0, 0.1, 0.4, 1.8, 2.1, 5.7, 20, 300, 1e300);
  CAPTURE(entries, rate);
  const RateLimitedEndpoint endpoint{core::InstanceId("i-1"), kDomain, rate};
  std::size_t senders = 0;
  double burst = 0;
  double sum_of_rates = 0;
  for (const auto& entry : MakeEntries(entries)) {
    if (const auto share = entry.ShareOf(endpoint)) {
      ++senders;
      burst += static_cast<double>(share->requests_);
      sum_of_rates += static_cast<double>(share->requests_) /
                      std::chrono::duration<double>(share->window_).count();
    }
  }
  CHECK(senders == SenderCount(rate, entries));
  CHECK(sum_of_rates >= 0.999 * rate);
  if (rate < 1e9) {
    CHECK(sum_of_rates <= 1.001 * std::max(rate, 0.1));
    CHECK(burst <= BurstOf(rate));
    CHECK(burst + kWindowSeconds * sum_of_rates <= AllowedInWindow(rate));
  }
}

TEST_CASE("senders are entries of the endpoint's failure domain if it has any",
          "[routing]") {
  struct Row {
    std::string name_;
    std::string endpoint_domain_;
    std::vector<std::string> other_domains_;
    bool complete_;
    bool sends_;
  };
  const auto row =
      GENERATE(Row{"local endpoint", "d0", {"d1"}, true, true},
               Row{"remote endpoint", "d1", {"d1"}, true, false},
               Row{"no entries at the endpoint", "d9", {}, true, true},
               Row{"others may be unknown", "d0", {}, false, false});
  CAPTURE(row.name_);
  RateLimitSenders senders({EntryId(0), kDomain});
  std::vector<EntryLocation> others;
  for (const auto& domain : row.other_domains_) {
    others.push_back({EntryId(1), core::FailureDomainId(domain)});
  }
  senders.SetEntries(others, row.complete_, kStart);
  CHECK(senders
            .ShareOf({core::InstanceId("i-1"),
                      core::FailureDomainId(row.endpoint_domain_), 2})
            .has_value() == row.sends_);
}

TEST_CASE("entries agree on the domain that sends if the endpoint's has none",
          "[routing]") {
  constexpr std::size_t kDomains = 5;
  std::vector<EntryLocation> all;
  for (std::size_t i = 0; i < kDomains; ++i) {
    all.push_back({EntryId(i), core::FailureDomainId("d" + std::to_string(i))});
  }
  std::size_t senders = 0;
  for (const auto& self : all) {
    auto others = all;
    std::erase_if(others,
                  [&](const auto& entry) { return entry.id_ == self.id_; });
    RateLimitSenders entry(self);
    entry.SetEntries(others, true, kStart);
    senders += entry.ShareOf(
                   {core::InstanceId("i-1"), core::FailureDomainId("other"), 2})
                   ? 1
                   : 0;
  }
  CHECK(senders == 1);
}

struct Load {
  std::size_t entries_;
  double limit_;
  /// Requests per second of all entries, any of which may use the endpoint.
  double offered_;
  /// Whether half of the requests go to a tenth of the entries.
  bool skewed_;
};

/// Requests that an endpoint got while entries used it whenever they could.
struct Usage {
  /// Share of the limit that was used.
  double share_ = 0;
  std::size_t most_in_window_ = 0;
};

/// Duration of a simulation, in seconds.
constexpr double kSeconds = 200;

/// Times of requests at random intervals, in seconds.
std::vector<double> DrawTimes(double per_second, double seconds,
                              std::mt19937_64& random) {
  std::exponential_distribution<> pause(per_second);
  std::vector<double> times{pause(random)};
  while (times.back() < seconds) {
    times.push_back(times.back() + pause(random));
  }
  return times;
}

Usage Simulate(const Load& load, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto entries = MakeEntries(load.entries_);
  const auto busy = std::max<std::size_t>(load.entries_ / 10, 1);
  std::vector<double> weights(load.entries_, 1);
  if (load.skewed_ && load.entries_ > busy) {
    std::fill_n(
        weights.begin(), busy,
        static_cast<double>(load.entries_ - busy) / static_cast<double>(busy));
  }
  std::discrete_distribution<std::size_t> entry_of(weights.begin(),
                                                   weights.end());
  const RateLimitedEndpoint endpoint{
      core::InstanceId("i-" + std::to_string(seed)), kDomain, load.limit_};
  std::vector<std::deque<double>> sent_at(load.entries_);
  std::deque<double> window;
  Usage usage;
  std::size_t sent = 0;
  for (const auto now : DrawTimes(load.offered_, kSeconds, random)) {
    const auto entry = entry_of(random);
    const auto share = entries[entry].ShareOf(endpoint);
    if (!share) {
      continue;
    }
    auto& last = sent_at[entry];
    if (last.size() == share->requests_) {
      if (now - last.front() <
          std::chrono::duration<double>(share->window_).count()) {
        continue;
      }
      last.pop_front();
    }
    last.push_back(now);
    ++sent;
    window.push_back(now);
    while (now - window.front() >= kWindowSeconds) {
      window.pop_front();
    }
    usage.most_in_window_ = std::max(usage.most_in_window_, window.size());
  }
  usage.share_ = static_cast<double>(sent) / (kSeconds * load.limit_);
  return usage;
}

TEST_CASE("entries with uneven load keep to the limit and use it",
          "[routing]") {
  const auto load = GENERATE(
      Load{2, 2.1, 40, false}, Load{3, 1.8, 60, true}, Load{7, 2.1, 150, true},
      Load{45, 2, 600, true}, Load{65, 0.4, 107, false},
      Load{65, 0.4, 107, true}, Load{65, 2, 107, true},
      Load{640, 2, 1600, true}, Load{640, 20, 1600, false});
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const auto usage = Simulate(load, seed);
    CAPTURE(load.entries_, load.limit_, load.offered_, load.skewed_, seed,
            usage.share_, usage.most_in_window_);
    CHECK(usage.most_in_window_ <= AllowedInWindow(load.limit_));
    CHECK(static_cast<double>(usage.most_in_window_) <=
          kWindowSeconds * load.limit_ + BurstOf(load.limit_));
    CHECK(usage.share_ > 0.5);
  }
}

/// What happens to the entries while they send to a limited endpoint.
enum class Membership : std::uint8_t {
  kStable,
  /// The failure domains lose each other for kAbsence; all reach the endpoint.
  kPartition,
  /// All entries but one lose the others, and these lose them.
  kIsolation,
  /// Entries of the endpoint's domain restart one after the other.
  kRestarts,
};

constexpr std::size_t kDomainCount = 4;
constexpr std::size_t kEntriesPerDomain = 9;
constexpr double kOfferedPerEntry = 5;
constexpr double kRunSeconds = 25;
constexpr double kFirstChange = 10;
constexpr double kAbsence = 8;
constexpr double kRestartInterval = 0.6;
constexpr double kDowntime = 1;
constexpr double kViewInterval = 0.1;

/// Entries that each decide by their own view of the others.
class ChangingEntries {
 public:
  ChangingEntries(Membership membership, double rate, std::uint64_t seed)
      : membership_(membership), random_(seed) {
    endpoint_ = {core::InstanceId("i-" + std::to_string(seed)),
                 core::FailureDomainId("d0"), rate};
    for (std::size_t i = 0; i < kDomainCount * kEntriesPerDomain; ++i) {
      locations_.push_back(
          {EntryId(i),
           core::FailureDomainId("d" + std::to_string(i / kEntriesPerDomain))});
      Start(i, -kStartedBefore);
    }
  }

  /// @return most requests that the endpoint got in any kWindowSeconds.
  std::size_t Run() {
    std::size_t most = 0;
    std::deque<double> window;
    std::size_t views = 0;
    const auto offered =
        kOfferedPerEntry * static_cast<double>(entries_.size());
    for (const auto now : DrawTimes(offered, kRunSeconds, random_)) {
      while (static_cast<double>(views) * kViewInterval <= now) {
        UpdateViews(static_cast<double>(views) * kViewInterval);
        ++views;
      }
      if (!TrySend(random_() % entries_.size(), now)) {
        continue;
      }
      window.push_back(now);
      while (now - window.front() >= kWindowSeconds) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }

 private:
  struct Entry {
    RateLimitSenders senders_;
    std::deque<double> sent_at_;
  };

  static constexpr double kStartedBefore = 1000;

  static core::TimePoint TimeAt(double seconds) {
    return kStart + std::chrono::duration_cast<core::Duration>(
                        std::chrono::duration<double>(seconds));
  }

  void Start(std::size_t index, double now) {
    entries_.insert_or_assign(index,
                              Entry{RateLimitSenders(locations_[index]), {}});
    SetView(index, now);
  }

  [[nodiscard]] bool IsRunning(std::size_t index, double now) const {
    const auto stopped_at =
        kFirstChange + kRestartInterval * static_cast<double>(index);
    return membership_ != Membership::kRestarts || index >= kEntriesPerDomain ||
           now < stopped_at || now >= stopped_at + kDowntime;
  }

  [[nodiscard]] bool Knows(std::size_t index, std::size_t other,
                           double now) const {
    const bool disturbed = now >= kFirstChange && now < kFirstChange + kAbsence;
    if (!IsRunning(other, now)) {
      return false;
    }
    if (disturbed && membership_ == Membership::kPartition) {
      return locations_[index].domain_ == locations_[other].domain_;
    }
    return !(disturbed && membership_ == Membership::kIsolation);
  }

  void SetView(std::size_t index, double now) {
    std::vector<EntryLocation> others;
    for (std::size_t other = 0; other < locations_.size(); ++other) {
      if (other != index && Knows(index, other, now)) {
        others.push_back(locations_[other]);
      }
    }
    entries_.at(index).senders_.SetEntries(others, true, TimeAt(now));
  }

  void UpdateViews(double now) {
    for (std::size_t index = 0; index < locations_.size(); ++index) {
      const bool runs = IsRunning(index, now);
      if (runs && !IsRunning(index, now - kViewInterval)) {
        Start(index, now);
      } else if (runs) {
        SetView(index, now);
      }
    }
  }

  bool TrySend(std::size_t index, double now) {
    auto& entry = entries_.at(index);
    const auto share = entry.senders_.ShareOf(endpoint_);
    if (!share || !IsRunning(index, now) || TimeAt(now) < share->not_before_) {
      return false;
    }
    auto& sent = entry.sent_at_;
    if (sent.size() >= share->requests_) {
      const auto reference = sent[sent.size() - share->requests_];
      if (TimeAt(now) < TimeAt(reference) + share->window_) {
        return false;
      }
    }
    sent.push_back(now);
    return true;
  }

  Membership membership_;
  std::mt19937_64 random_;
  RateLimitedEndpoint endpoint_;
  std::vector<EntryLocation> locations_;
  std::map<std::size_t, Entry> entries_;
};

TEST_CASE("entries that lose each other or restart exceed a limit together",
          "[routing]") {
  const auto membership =
      GENERATE(Membership::kStable, Membership::kPartition,
               Membership::kIsolation, Membership::kRestarts);
  const double rate = GENERATE(0.3, 1, 2, 4);
  std::size_t most = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    most = std::max(most, ChangingEntries(membership, rate, seed).Run());
  }
  std::cout << "figure rate_limit_most " << static_cast<int>(membership) << " "
            << rate << ": " << most << " of " << AllowedInWindow(rate) << "\n";
  CAPTURE(static_cast<int>(membership), rate);
  CHECK(static_cast<double>(most) <= AllowedInWindow(rate));
}

}  // namespace
}  // namespace chalkwell::routing
