// Until when older weights may be used.
#include "chalkwell/rollout/version_bound.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::rollout {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart{1000s};

TEST_CASE("a version named later does not put off an earlier one's bound",
          "[rollout]") {
  // Seen on a day with two versions 2 s apart: version 1 was used for 10 s.
  struct Row {
    core::Duration after_;
    std::uint64_t least_;
  };
  const auto row = GENERATE(Row{0s, 0}, Row{7900ms, 0}, Row{8s, 2},
                            Row{9900ms, 2}, Row{10s, 3}, Row{100s, 3});
  VersionBound bound;
  CHECK(bound.OnNamed(2, kStart));
  CHECK(bound.OnNamed(3, kStart + 2s));
  CHECK_FALSE(bound.OnNamed(2, kStart + 3s));
  CHECK_FALSE(bound.OnNamed(3, kStart + 3s));
  CHECK(bound.newest() == 3);
  CHECK(bound.Least(8s, kStart + row.after_) == row.least_);
}

TEST_CASE("a version ends by the first that is named after it", "[rollout]") {
  // Seen: engines with version 1 waited for the bound of version 3, while
  // version 2 had ended what they served 2 s before.
  struct Row {
    std::uint64_t version_;
    std::optional<core::TimePoint> end_;
  };
  const auto row = GENERATE(Row{1, kStart + 8s}, Row{2, kStart + 10s},
                            Row{3, std::nullopt}, Row{4, std::nullopt});
  VersionBound bound;
  bound.OnNamed(2, kStart);
  bound.OnNamed(3, kStart + 2s);
  CHECK(bound.EndOf(row.version_, 8s) == row.end_);
}

TEST_CASE("a version that was found at the start has no calm margin",
          "[rollout]") {
  struct Row {
    bool live_;
    core::Duration after_;
    std::uint64_t least_;
    std::uint64_t next_;
    core::Duration until_;
    core::Duration calm_until_;
  };
  const auto row = GENERATE(Row{true, 1s, 0, 2, 6600ms, 7400ms},
                            Row{true, 7s, 0, 2, 6600ms, 7400ms},
                            Row{true, 7400ms, 2, 3, 11600ms, 12400ms},
                            Row{false, 1s, 0, 2, 6600ms, 6600ms},
                            Row{false, 6600ms, 2, 3, 11600ms, 12400ms});
  VersionBound bound;
  bound.OnNamed(2, kStart, row.live_);
  bound.OnNamed(3, kStart + 5s);
  const auto rule = bound.RuleAt(8s, 600ms, 1400ms, kStart + row.after_);
  CHECK(rule.least_ == row.least_);
  CHECK(rule.next_ == row.next_);
  CHECK(rule.until_ == kStart + row.until_);
  CHECK(rule.calm_until_ == kStart + row.calm_until_);
}

TEST_CASE("many versions keep the bounds of those that still count",
          "[rollout]") {
  VersionBound bound;
  for (std::uint64_t version = 2; version <= 200; ++version) {
    bound.OnNamed(version, kStart + std::chrono::seconds(version));
  }
  CHECK(bound.newest() == 200);
  CHECK(bound.Least(8s, kStart + 200s) == 192);
}

}  // namespace
}  // namespace chalkwell::rollout
