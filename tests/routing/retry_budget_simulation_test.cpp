// Retries of all entries of a deployment, in simulated time: entries restart,
// lose sight of each other, and serve several services.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <iostream>
#include <memory>
#include <numeric>
#include <random>
#include <string>
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

/// One life of an entry, with the product's decisions.
class SimulatedEntry {
 public:
  SimulatedEntry(Size size, core::TimePoint started)
      : reserve_(started, kWindow), budgets_({.share_ = kShare}) {
    reserve_.SetTotal(size.reserve_);
  }

  /// @param local live entries of the own failure domain that it knows,
  /// itself included.
  /// @param all live entries of the deployment that it knows.
  void SetView(std::size_t /*local*/, std::size_t all, core::TimePoint now) {
    reserve_.SetView(all);
    budgets_.SetAllowance(reserve_.PartAt(now));
  }
  void OnRequest(const std::string& service, core::TimePoint now) {
    budgets_.OnRequest(service, now);
  }
  bool TryConsume(const std::string& service, core::TimePoint now) {
    return budgets_.TryConsume(service, RetryKind::kResume, now);
  }

 private:
  RetryReserve reserve_;
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
    void Begin(Size size, core::TimePoint now) {
      entry_ = std::make_unique<SimulatedEntry>(size, now);
      started_ = now;
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
      live[i % kDomains] += slots_[i].entry_ == nullptr ? 0 : 1;
    }
    const auto all = std::accumulate(live.begin(), live.end(), std::size_t{0});
    const auto now = kStart + time;
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      const auto& slot = slots_[i];
      if (slot.entry_ == nullptr) {
        continue;
      }
      const bool discovered = now - slot.started_ >= kDiscoveryTime;
      const auto local = discovered ? live[i % kDomains] : 1;
      slot.entry_->SetView(
          local, scenario_.cut_(time) || !discovered ? local : all, now);
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
/// Two bursts of failures, almost a window apart.
const auto kBursts = [](core::Duration time) {
  return Between(time, 1500ms, 2000ms) || Between(time, 11s, 11500ms) ? 1.0
                                                                      : 0.0;
};

TEST_CASE("retries of all entries exceed the budget of a service",
          "[routing][retry_budget]") {
  const auto size = GENERATE(Size{9, 106}, Size{39, 228}, Size{330, 654});
  const auto scenario = GENERATE(
      Scenario{.name_ = "equal views", .least_used_ = 0.75},
      Scenario{.name_ = "beside another service", .other_rate_ = 60},
      Scenario{.name_ = "bursts", .failed_ = kBursts},
      Scenario{.name_ = "domains cut off", .cut_ = kCutTwice},
      Scenario{.name_ = "bursts, domains cut off",
               .failed_ = kBursts,
               .cut_ = kCutTwice},
      Scenario{.name_ = "restarts in turn", .killed_ = kKilledInTurn},
      Scenario{.name_ = "herds of kills", .killed_ = kKilledTogether},
      Scenario{.name_ = "herds of kills beside another service, domains cut",
               .other_rate_ = 5,
               .cut_ = kCutTwice,
               .killed_ = kKilledTogether});
  const auto arrivals = Simulation(scenario, size).Run();
  const double most = MostOfAllowed(arrivals, size.reserve_);
  std::cout << "retries in the worst window over allowed: " << most << " ("
            << scenario.name_ << ", " << size.entries_ << " entries)\n";
  CAPTURE(scenario.name_, size.entries_);
  CHECK(most <= 1.0);
  CHECK(most >= scenario.least_used_);
}

}  // namespace
}  // namespace chalkwell::routing
