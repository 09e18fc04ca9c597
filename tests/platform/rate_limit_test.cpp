// Rate limits that endpoints state in their responses, with real entries.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

/// Window in which an endpoint's requests are counted.
constexpr auto kWindow = 4s;
/// Time from the first statement of a limit until it must be kept.
constexpr auto kReactionTime = 1s;
/// Requests per second.
constexpr double kStatedLimit = 2;
/// What the platform allows in a window: one and a half times the limit and
/// five requests.
constexpr auto kAllowedInWindow =
    static_cast<std::size_t>(1.5 * kStatedLimit * kWindow.count()) + 5;

/// Records when requests arrive at an endpoint.
class ArrivalTimes {
 public:
  explicit ArrivalTimes(standins::EndpointStandin& endpoint) {
    endpoint.OnArrival([this](const std::string&) {
      const std::lock_guard lock(mutex_);
      times_.push_back(Clock::now());
    });
  }

  [[nodiscard]] std::size_t CountSince(Clock::time_point start) const {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::ranges::count_if(
        times_, [start](Clock::time_point time) { return time >= start; }));
  }

  /// @return the most arrivals in a window that begins at `start` or later.
  [[nodiscard]] std::size_t MostInWindow(Clock::time_point start) const {
    const std::lock_guard lock(mutex_);
    std::size_t most = 0;
    auto last = times_.begin();
    for (auto first = std::ranges::lower_bound(times_, start);
         first != times_.end(); ++first) {
      last = std::ranges::lower_bound(std::max(first, last), times_.end(),
                                      *first + kWindow);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<Clock::time_point> times_;
};

/// Sends requests to entries, some 15 a second to each, until it is destroyed.
class Callers {
 public:
  explicit Callers(const std::vector<const Node*>& entries) {
    for (const auto* entry : entries) {
      threads_.emplace_back([this, entry] {
        while (!done_) {
          const auto status =
              Status(SendRequest(*entry, RequestText("/safe/x")));
          failed_ += status == "200" ? 0 : 1;
          std::this_thread::sleep_for(kPause);
        }
      });
    }
  }
  ~Callers() {
    done_ = true;
    for (auto& thread : threads_) {
      thread.join();
    }
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  [[nodiscard]] int failed() const { return failed_; }

 private:
  static constexpr auto kPause = 60ms;

  std::atomic<bool> done_{false};
  std::atomic<int> failed_{0};
  std::vector<std::thread> threads_;
};

TEST_CASE(
    "an endpoint's stated rate limit is exceeded by the sum of the entries",
    "[platform][limit]") {
  Deployment deployment;
  const auto first = deployment.StartEntry("e1", deployment.store_.address());
  const auto second = deployment.StartEntry("e2", deployment.store_.address(),
                                            NodeOptions{&first, 2});
  const auto third = deployment.StartEntry("e3", deployment.store_.address(),
                                           NodeOptions{&first, 3});
  REQUIRE(Eventually(
      [&] { return first.Ready() && second.Ready() && third.Ready(); }));
  const ArrivalTimes arrivals(deployment.first_);
  const Callers callers({&first, &second, &third});
  REQUIRE(Eventually([&] { return deployment.first_.runs() > 20; }));
  deployment.first_.SetRateLimit("2");
  const auto stated_at = Clock::now();
  std::this_thread::sleep_for(kReactionTime + kWindow + 1s);
  const auto most_in_window = arrivals.MostInWindow(stated_at + kReactionTime);
  CHECK(most_in_window <= kAllowedInWindow);
  CHECK(arrivals.CountSince(stated_at + kReactionTime) > 0);
  CHECK(callers.failed() == 0);
}

/// Whether an entry logged a change of a rate limit.
/// @param source "response", or the entry that it learned it from.
bool LoggedChange(const Deployment& deployment, const std::string& entry,
                  const std::string& change, const std::string& source) {
  std::stringstream log(deployment.Log(entry));
  for (std::string line; std::getline(log, line);) {
    const auto has = [&line](const std::string& text) {
      return line.find(text) != std::string::npos;
    };
    if (has("endpoint-rate-limit") && has("change=\"" + change + "\"") &&
        has("source=\"" + source + "\"")) {
      return true;
    }
  }
  return false;
}

TEST_CASE("an entry does not learn of a rate limit that others know",
          "[platform][limit]") {
  Deployment deployment;
  const auto first = deployment.StartEntry("e1", deployment.store_.address());
  const auto second = deployment.StartEntry("e2", deployment.store_.address(),
                                            NodeOptions{&first, 2});
  REQUIRE(Eventually([&] { return first.Ready() && second.Ready(); }));
  deployment.first_.SetRateLimit("2");
  const Callers callers({&first});
  CHECK(Eventually(
      [&] { return LoggedChange(deployment, "e2", "limited", "e1"); }));
  const auto third = deployment.StartEntry("e3", deployment.store_.address(),
                                           NodeOptions{&first, 3});
  CHECK(Eventually([&] {
    return LoggedChange(deployment, "e3", "limited", "e1") ||
           LoggedChange(deployment, "e3", "limited", "e2");
  }));
}

TEST_CASE("an endpoint stays limited at some entries after its limit ended",
          "[platform][limit]") {
  Deployment deployment;
  const auto first = deployment.StartEntry("e1", deployment.store_.address());
  const auto second = deployment.StartEntry("e2", deployment.store_.address(),
                                            NodeOptions{&first, 2});
  REQUIRE(Eventually([&] { return first.Ready() && second.Ready(); }));
  deployment.first_.SetRateLimit("2");
  const Callers callers({&first, &first, &first, &first});
  REQUIRE(Eventually(
      [&] { return LoggedChange(deployment, "e2", "limited", "e1"); }));
  deployment.first_.SetRateLimit("");
  CHECK(Eventually(
      [&] { return LoggedChange(deployment, "e2", "lifted", "e1"); }));
  const auto runs = deployment.first_.runs();
  const auto lifted_at = Clock::now();
  CHECK(Eventually([&] {
    const std::chrono::duration<double> elapsed = Clock::now() - lifted_at;
    return static_cast<double>(deployment.first_.runs() - runs) >
           2 * 1.5 * kStatedLimit * elapsed.count() + 5;
  }));
}

TEST_CASE("a request waits at an entry whose endpoints all reached their limit",
          "[platform][limit]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.first_.SetRateLimit("0.2");
  deployment.second_.SetRateLimit("0.2");
  std::string response;
  REQUIRE(Eventually([&] {
    response = SendRequest(entry, RequestText("/safe/x"));
    return Status(response) != "200";
  }));
  CHECK(Status(response) == "503");
  CHECK(response.find("at their rate limit") != std::string::npos);
  CHECK(response.find("retry-after") != std::string::npos);
}

}  // namespace
}  // namespace chalkwell::platform_tests
