// Retries of all entries of a deployment, in simulated time: entries restart,
// lose sight of each other, and serve several services.
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "chalkwell/routing/retry_budgets.hpp"
#include "chalkwell/routing/retry_reserve.hpp"

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

constexpr auto kWindow = 10s;
constexpr auto kStep = 10ms;
constexpr auto kLength = 45s;
constexpr double kShare = 0.2;
const core::TimePoint kStart(1h + 37ms);
/// The service whose attempts fail, and another one of the same entries.
const std::string kFailing = "failing";
const std::string kOther = "other";

/// Size of a deployment, and the retries that all its entries may make in a
/// window beyond the share of a service's requests.
struct Size {
  std::size_t entries_;
  double reserve_;
};

constexpr std::size_t kDomains = 3;

struct Scenario {
  std::string name_;
  /// Requests per second of the other service at each entry.
  double other_rate_ = 0;
  /// Share of the failing service's attempts that fail, by the time since the
  /// start.
  std::function<double(core::Duration)> failed_ = [](core::Duration) {
    return 1.0;
  };
  /// Whether the failure domains are cut off from each other.
  std::function<bool(core::Duration)> cut_ = [](core::Duration) {
    return false;
  };
  /// Whether an entry is cut off from all others.
  std::function<bool(std::size_t entry, core::Duration)> isolated_ =
      [](std::size_t, core::Duration) { return false; };
  /// Whether an entry is killed in the step that begins then.
  std::function<bool(std::size_t entry, core::Duration)> killed_ =
      [](std::size_t, core::Duration) { return false; };
  /// Least share of the allowed retries that are made in the worst window.
  double least_used_ = 0;
};

/// Whether the step that begins at `time` holds `at`.
bool InStep(core::Duration time, core::Duration at) {
  return at >= time && at < time + kStep;
}

bool Between(core::Duration time, core::Duration from, core::Duration to) {
  return time >= from && time < to;
}

/// One incarnation of an entry, with the product's decisions.
class SimulatedEntry {
 public:
  SimulatedEntry(Size size, core::TimePoint started)
      : reserve_(started, kWindow),
        budgets_({.share_ = kShare, .allowance_ = AllowanceOf(0)}) {
    reserve_.SetTotal(size.reserve_);
  }

  /// @param domains failure domains with live entries that it knows.
  /// @param local live entries of the own failure domain that it knows,
  /// itself included.
  void SetView(std::size_t domains, std::size_t local, core::TimePoint now) {
    // The settings name all domains.
    parts_.SetDomains(std::max(domains, kDomains), now);
    parts_.SetLocalEntries(local, now);
  }
  void Update(core::TimePoint now) {
    budgets_.SetAllowance(reserve_.PartOf(parts_, now));
  }
  void OnRequest(const std::string& service, core::TimePoint now) {
    budgets_.OnRequest(service, now);
  }
  bool TryConsume(const std::string& service, core::TimePoint now) {
    return budgets_.TryConsume(service, RetryKind::kResume, now);
  }

 private:
  RetryReserve reserve_;
  DeploymentParts parts_;
  RetryBudgets budgets_;
};

/// Times of what the failing service got, over all entries.
struct Arrivals {
  std::vector<core::TimePoint> requests_;
  std::vector<core::TimePoint> retries_;
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, Size size)
      : scenario_(scenario), size_(size), slots_(size.entries_) {}

  Arrivals Run() {
    for (auto& slot : slots_) {
      // The first incarnations have run for a while.
      slot.Begin(size_, kStart - 2 * kWindow);
    }
    for (core::Duration time = -2 * kWindow; time < kLength; time += kStep) {
      Step(time);
    }
    return std::move(arrivals_);
  }

 private:
  /// A machine and the incarnation of the entry on it.
  struct Slot {
    std::unique_ptr<SimulatedEntry> entry_;
    core::TimePoint started_;
    bool found_others_ = false;
    void Begin(Size size, core::TimePoint now) {
      entry_ = std::make_unique<SimulatedEntry>(size, now);
      started_ = now;
      found_others_ = false;
    }
  };
  /// From the end of an incarnation to the start of the next.
  static constexpr auto kRestartTime = 300ms;
  /// In which a new incarnation finds the others.
  static constexpr auto kDiscoveryTime = 400ms;
  static constexpr double kRate = 21;

  void Step(core::Duration time) {
    const auto now = kStart + time;
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      auto& slot = slots_[i];
      if (time >= core::Duration{} && scenario_.killed_(i, time)) {
        slot.entry_ = nullptr;
        slot.started_ = now + kRestartTime;
      }
      if (slot.entry_ == nullptr && now >= slot.started_) {
        slot.Begin(size_, now);
      }
    }
    UpdateViews(time);
    for (auto& slot : slots_) {
      if (slot.entry_ != nullptr) {
        Serve(*slot.entry_, time);
      }
    }
  }

  void UpdateViews(core::Duration time) {
    std::array<std::size_t, kDomains> live{};
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      const bool seen = slots_[i].entry_ && !scenario_.isolated_(i, time);
      live[i % kDomains] += seen ? 1 : 0;
    }
    const auto now = kStart + time;
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      auto& slot = slots_[i];
      if (slot.entry_ == nullptr) {
        continue;
      }
      const bool alone = scenario_.isolated_(i, time);
      slot.found_others_ |= !alone && now - slot.started_ >= kDiscoveryTime;
      if (slot.found_others_) {
        const bool cut = alone || scenario_.cut_(time);
        slot.entry_->SetView(cut ? 1 : kDomains, alone ? 1 : live[i % kDomains],
                             now);
      }
      slot.entry_->Update(now);
    }
  }

  void Serve(SimulatedEntry& entry, core::Duration time) {
    const auto now = kStart + time;
    const double step = std::chrono::duration<double>(kStep).count();
    if (Draw() < scenario_.other_rate_ * step) {
      entry.OnRequest(kOther, now);
    }
    if (Draw() >= kRate * step) {
      return;
    }
    entry.OnRequest(kFailing, now);
    arrivals_.requests_.push_back(now);
    // Each failure breaks several attempts.
    const bool failing =
        time >= core::Duration{} && Draw() < scenario_.failed_(time);
    for (int i = 0; failing && i < kBrokenAttempts; ++i) {
      if (entry.TryConsume(kFailing, now)) {
        arrivals_.retries_.push_back(now);
      }
    }
  }

  double Draw() { return uniform_(random_); }

  static constexpr int kBrokenAttempts = 4;
  const Scenario& scenario_;
  Size size_;
  std::vector<Slot> slots_;
  std::mt19937 random_{7};
  std::uniform_real_distribution<double> uniform_{0, 1};
  Arrivals arrivals_;
};

std::size_t CountBetween(const std::vector<core::TimePoint>& times,
                         core::TimePoint from, core::TimePoint to) {
  return static_cast<std::size_t>(std::ranges::lower_bound(times, to) -
                                  std::ranges::lower_bound(times, from));
}

/// Most retries in any window, relative to what the users' rule allows there.
double MostOfAllowed(const Arrivals& arrivals, double reserve) {
  double most = 0;
  for (const auto last : arrivals.retries_) {
    const auto to = last + core::Duration(1);
    const auto requests = [&](core::Duration earlier) {
      return CountBetween(arrivals.requests_, to - kWindow - earlier,
                          to - earlier);
    };
    const auto counted = std::max(
        {requests(core::Duration{}), requests(kWindow / 2), requests(kWindow)});
    const double allowed = kShare * static_cast<double>(counted) + reserve;
    const auto retries = CountBetween(arrivals.retries_, to - kWindow, to);
    most = std::max(most, static_cast<double>(retries) / allowed);
  }
  return most;
}

const auto kKilledInTurn = [](std::size_t entry, core::Duration time) {
  return InStep(time, 5s + entry * 1s) || InStep(time, 14s + entry * 1s);
};
const auto kKilledTogether = [](std::size_t entry, core::Duration time) {
  const bool most = entry % 5 != 0;
  return (most && (InStep(time, 2s) || InStep(time, 6s))) || InStep(time, 4s) ||
         InStep(time, 8s) || InStep(time, 21s);
};
const auto kCutTwice = [](core::Duration time) {
  return Between(time, 3s, 15s) || Between(time, 19s, 24s);
};
/// All lose power twice in a window, and at both ends of one.
const auto kPowerLost = [](std::size_t, core::Duration time) {
  return InStep(time, 3s) || InStep(time, 7s) || InStep(time, 12800ms);
};
/// Entries of one domain are cut off from all others, twice.
const auto kIsolated = [](std::size_t entry, core::Duration time) {
  return entry % kDomains == 0 &&
         (Between(time, 3s, 15s) || Between(time, 19s, 24s));
};
/// Two bursts of failures, almost a window apart.
const auto kBursts = [](core::Duration time) {
  return Between(time, 1500ms, 2000ms) || Between(time, 11s, 11500ms) ? 1.0
                                                                      : 0.0;
};

TEST_CASE("retries of all entries exceed the budget of a service",
          "[routing][retry_budget]") {
  const auto size =
      GENERATE(Size{9, 106}, Size{39, 228}, Size{330, 654}, Size{660, 1308});
  const auto scenario = GENERATE(
      Scenario{.name_ = "equal views", .least_used_ = 0.9},
      Scenario{.name_ = "beside another service", .other_rate_ = 60},
      Scenario{.name_ = "bursts", .failed_ = kBursts},
      Scenario{.name_ = "domains cut off", .cut_ = kCutTwice},
      Scenario{.name_ = "entries cut off", .isolated_ = kIsolated},
      Scenario{.name_ = "bursts, domains cut off",
               .failed_ = kBursts,
               .cut_ = kCutTwice},
      Scenario{.name_ = "loss of power", .killed_ = kPowerLost},
      Scenario{.name_ = "loss of power, domains cut off",
               .cut_ = kCutTwice,
               .killed_ = kPowerLost},
      Scenario{.name_ = "loss of power beside another service",
               .other_rate_ = 60,
               .killed_ = kPowerLost},
      Scenario{.name_ = "loss of power between bursts",
               .failed_ = kBursts,
               .killed_ = kPowerLost},
      Scenario{.name_ = "bursts beside another service",
               .other_rate_ = 60,
               .failed_ = kBursts},
      Scenario{.name_ = "bursts, restarts in turn",
               .failed_ = kBursts,
               .killed_ = kKilledInTurn},
      Scenario{.name_ = "restarts in turn beside another service",
               .other_rate_ = 60,
               .killed_ = kKilledInTurn},
      Scenario{.name_ = "restarts in turn", .killed_ = kKilledInTurn},
      Scenario{.name_ = "herds of kills", .killed_ = kKilledTogether},
      Scenario{.name_ = "herds of kills beside another service, domains cut",
               .other_rate_ = 5,
               .cut_ = kCutTwice,
               .killed_ = kKilledTogether},
      Scenario{.name_ = "herds of kills, entries cut off",
               .isolated_ = kIsolated,
               .killed_ = kKilledTogether});
  const auto arrivals = Simulation(scenario, size).Run();
  const double most = MostOfAllowed(arrivals, size.reserve_);
  std::cout << "retries in the worst window over allowed: " << most << " ("
            << scenario.name_ << ", " << size.entries_ << " entries)\n";
  CAPTURE(scenario.name_, size.entries_);
  CHECK(most <= 1.0);
  CHECK(most >= scenario.least_used_);
}

/// Kills, isolations and failures at random times.
Scenario RandomScenario(unsigned seed) {
  std::mt19937 random(seed);
  const auto draw = [&](int from, int to) {
    return std::uniform_int_distribution(from, to)(random);
  };
  std::vector<core::Duration> kills;
  std::vector<std::pair<core::Duration, core::Duration>> spans;
  for (int i = draw(0, 8); i > 0; --i) {
    kills.emplace_back(std::chrono::milliseconds(draw(0, 40000)));
  }
  for (int i = 0; i < 6; ++i) {
    const core::Duration from = std::chrono::milliseconds(draw(0, 40000));
    spans.emplace_back(from, from + std::chrono::milliseconds(draw(50, 15000)));
  }
  const auto kill_share = static_cast<unsigned>(draw(1, 10));
  const double failed = draw(1, 10) / 10.0;
  return {.name_ = "seed " + std::to_string(seed),
          .other_rate_ = static_cast<double>(draw(0, 30)),
          .failed_ =
              [spans, failed](core::Duration time) {
                const bool in_span = std::ranges::any_of(
                    spans.begin(), spans.begin() + 3, [&](const auto& span) {
                      return Between(time, span.first, span.second);
                    });
                return in_span ? failed : 0.0;
              },
          .isolated_ =
              [spans](std::size_t entry, core::Duration time) {
                const auto& span = spans[3 + entry % kDomains];
                return entry % 2 == 0 && Between(time, span.first, span.second);
              },
          .killed_ =
              [kills, kill_share](std::size_t entry, core::Duration time) {
                return std::ranges::any_of(kills, [&](core::Duration at) {
                  const auto mix =
                      entry * 7 + at / std::chrono::milliseconds(1);
                  return mix % 10 < kill_share && InStep(time, at);
                });
              }};
}

TEST_CASE("random kills and cuts let retries exceed the budget of a service",
          "[routing][retry_budget]") {
  rc::prop("all entries together", [] {
    const auto scenario = RandomScenario(*rc::gen::arbitrary<unsigned>());
    const Size size{9, 106};
    const auto arrivals = Simulation(scenario, size).Run();
    RC_ASSERT(MostOfAllowed(arrivals, size.reserve_) <= 1.0);
  });
}

}  // namespace
}  // namespace chalkwell::routing
