// Tests of the endpoint chooser, the retry budget and the fair queue.
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "chalkwell/routing/affinity_chooser.hpp"
#include "chalkwell/routing/fair_queue.hpp"
#include "chalkwell/routing/retry_budget.hpp"

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);

Candidate At(const std::string& id, const std::string& domain,
             std::uint64_t in_flight) {
  return {.id_ = core::InstanceId(id),
          .domain_ = core::FailureDomainId(domain),
          .in_flight_ = in_flight,
          .capacity_ = 10};
}

TEST_CASE("the local domain is preferred and spills over when full",
          "[routing]") {
  AffinityChooser chooser(core::FailureDomainId("own"), {}, 1);
  const std::vector<Candidate> idle{At("a", "own", 2), At("b", "far", 0)};
  const std::vector<Candidate> full{At("a", "own", 10), At("b", "far", 0)};
  for (int i = 0; i < 20; ++i) {
    CHECK(chooser.Choose(idle, "")->value() == "a");
  }
  int remote = 0;
  for (int i = 0; i < 40; ++i) {
    remote += chooser.Choose(full, "")->value() == "b" ? 1 : 0;
  }
  CHECK(remote > 20);
  CHECK_FALSE(chooser.Choose({}, "p").has_value());
}

TEST_CASE("a prefix keeps its preferred endpoint until that is loaded",
          "[routing]") {
  AffinityChooser chooser(core::FailureDomainId("own"), {}, 1);
  std::vector<Candidate> all{At("a", "own", 1), At("b", "own", 1),
                             At("c", "own", 1)};
  const auto preferred = *chooser.Choose(all, "prefix");
  for (int i = 0; i < 20; ++i) {
    CHECK(*chooser.Choose(all, "prefix") == preferred);
  }
  for (auto& candidate : all) {
    candidate.in_flight_ = candidate.id_ == preferred ? 9 : 1;
  }
  int elsewhere = 0;
  for (int i = 0; i < 40; ++i) {
    elsewhere += *chooser.Choose(all, "prefix") == preferred ? 0 : 1;
  }
  CHECK(elsewhere > 20);
}

TEST_CASE("retries are limited to a share of requests", "[routing]") {
  RetryBudget budget({.share_ = 0.1,
                      .allowance_ = {.reserve_ = 2},
                      .resume_reserve_share_ = 0});
  CHECK(budget.TryConsume(RetryKind::kRestart, kStart));
  CHECK(budget.TryConsume(RetryKind::kRestart, kStart));
  CHECK_FALSE(budget.TryConsume(RetryKind::kRestart, kStart));
  for (int i = 0; i < 11; ++i) {
    budget.OnRequest();
  }
  CHECK(budget.TryConsume(RetryKind::kRestart, kStart));
  CHECK_FALSE(budget.TryConsume(RetryKind::kRestart, kStart));
}

TEST_CASE("resumes take precedence over fresh retries", "[routing]") {
  struct Row {
    RetryKind kind_;
    std::chrono::seconds later_;
    int granted_;
  };
  // The reserve of 20 is available again after its window.
  const auto row = GENERATE(
      Row{RetryKind::kRestart, 0s, 0}, Row{RetryKind::kResume, 0s, 10},
      Row{RetryKind::kRestart, 10s, 10}, Row{RetryKind::kResume, 10s, 20});
  RetryBudget budget({.share_ = 0, .allowance_ = {.reserve_ = 20}});
  int fresh = 0;
  while (budget.TryConsume(RetryKind::kRestart, kStart)) {
    ++fresh;
  }
  CHECK(fresh == 10);
  int granted = 0;
  while (budget.TryConsume(row.kind_, kStart + row.later_)) {
    ++granted;
  }
  CHECK(granted == row.granted_);
}

TEST_CASE("retries in any window stay within the share and the reserve",
          "[routing]") {
  rc::prop("retry budget", [] {
    const auto share = *rc::gen::inRange(0, 50) / 100.0;
    const auto burst = *rc::gen::inRange(1, 10);
    const auto reserve = *rc::gen::inRange(0, 30);
    RetryBudget budget(
        {.share_ = share,
         .allowance_ = {.burst_ = static_cast<double>(burst),
                        .reserve_ = static_cast<double>(reserve)}});
    std::vector<core::TimePoint> requests;
    std::vector<core::TimePoint> retries;
    auto now = kStart;
    for (const int gap :
         *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 300))) {
      now += std::chrono::milliseconds(gap);
      requests.push_back(now);
      budget.OnRequest();
      if (gap % 3 != 0 || !budget.TryConsume(RetryKind::kResume, now)) {
        continue;
      }
      retries.push_back(now);
      const auto since = [&](const std::vector<core::TimePoint>& times,
                             core::Duration span) {
        return std::ranges::count_if(
            times, [&](core::TimePoint at) { return at > now - span; });
      };
      RC_ASSERT(static_cast<double>(since(retries, 10s)) <=
                share * static_cast<double>(since(requests, 10s)) + burst +
                    reserve + 1e-6);
    }
  });
}

TEST_CASE("accounts are served by weight, regardless of their demand",
          "[routing]") {
  FairQueue queue({.max_in_flight_ = 1, .max_waiting_ = 1000});
  const core::ClientAccountId loud("loud");
  const core::ClientAccountId calm("calm");
  std::uint64_t number = 0;
  for (int i = 0; i < 300; ++i) {
    REQUIRE(queue.Offer({++number, loud, 1, kStart + 1h}, kStart));
  }
  for (int i = 0; i < 100; ++i) {
    REQUIRE(queue.Offer({++number, calm, 3, kStart + 1h}, kStart));
  }
  int calm_served = 0;
  for (int i = 0; i < 100; ++i) {
    calm_served += queue.Next()->account_ == calm ? 1 : 0;
    queue.Release(kStart);
  }
  CHECK(calm_served == 75);
}

TEST_CASE("requests that cannot meet their deadline are refused at once",
          "[routing]") {
  FairQueue queue({.max_in_flight_ = 1, .max_waiting_ = 2});
  const core::ClientAccountId account("a");
  CHECK_FALSE(queue.Offer({1, account, 1, kStart}, kStart));
  CHECK(queue.Offer({2, account, 1, kStart + 1s}, kStart));
  CHECK(queue.Offer({3, account, 1, kStart + 9s}, kStart));
  CHECK_FALSE(queue.Offer({4, account, 1, kStart + 1h}, kStart));
  CHECK(queue.TakeExpired(kStart + 2s).size() == 1);
  queue.Remove(3);
  CHECK(queue.waiting() == 0);
  CHECK_FALSE(queue.Next().has_value());
}

TEST_CASE("a queued request expires when it would probably be late",
          "[routing]") {
  struct Row {
    std::chrono::milliseconds budget_;
    std::chrono::milliseconds waited_;
    bool expired_;
  };
  // Responses usually take 200 ms. A request waits for at least half of its
  // deadline, here of 300 ms.
  const auto row = GENERATE(Row{1000ms, 700ms, false}, Row{1000ms, 850ms, true},
                            Row{300ms, 100ms, false}, Row{300ms, 160ms, true});
  FairQueue queue({.max_in_flight_ = 1, .max_waiting_ = 10});
  for (int i = 0; i < 50; ++i) {
    queue.OnServiceTime(200ms);
  }
  const core::ClientAccountId account("a");
  REQUIRE(queue.Offer({1, account, 1, kStart + 10s}, kStart));
  (void)queue.Next();
  REQUIRE(queue.Offer({2, account, 1, kStart + row.budget_}, kStart));
  const auto expired = queue.TakeExpired(kStart + row.waited_);
  CHECK(expired.empty() != row.expired_);
  CHECK(queue.waiting() == (row.expired_ ? 0 : 1));
}

TEST_CASE("the usual service time is above that of nine in ten requests",
          "[routing]") {
  FairQueue queue({});
  for (int i = 0; i < 4000; ++i) {
    queue.OnServiceTime(std::chrono::milliseconds(100 + 10 * (i * 7 % 10)));
  }
  CHECK(queue.service_time_p90() >= 160ms);
  CHECK(queue.service_time_p90() <= 210ms);
}

}  // namespace
}  // namespace chalkwell::routing
