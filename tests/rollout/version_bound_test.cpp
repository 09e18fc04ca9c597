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
  CHECK(bound.OnVersionPublished(2, kStart));
  CHECK(bound.OnVersionPublished(3, kStart + 2s));
  CHECK_FALSE(bound.OnVersionPublished(2, kStart + 3s));
  CHECK_FALSE(bound.OnVersionPublished(3, kStart + 3s));
  CHECK(bound.newest() == 3);
  CHECK(bound.MinVersion(8s, kStart + row.after_) == row.least_);
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
  bound.OnVersionPublished(2, kStart);
  bound.OnVersionPublished(3, kStart + 2s);
  CHECK(bound.ExpiryOf(row.version_, 8s) == row.end_);
}

TEST_CASE("an older version may be used until a margin before its bound",
          "[rollout]") {
  struct Row {
    core::Duration after_;
    std::uint64_t least_;
    std::uint64_t next_;
    core::Duration until_;
  };
  const auto row =
      GENERATE(Row{1s, 0, 2, 6600ms}, Row{6599ms, 0, 2, 6600ms},
               Row{6600ms, 2, 3, 11600ms}, Row{7400ms, 2, 3, 11600ms},
               Row{11600ms, 3, 0, 0ms});
  VersionBound bound;
  bound.OnVersionPublished(2, kStart);
  bound.OnVersionPublished(3, kStart + 5s);
  const auto rule = bound.ConstraintAt(8s, 1400ms, kStart + row.after_);
  CHECK(rule.min_version_ == row.least_);
  CHECK(rule.next_min_version_ == row.next_);
  if (row.next_ > 0) {
    CHECK(rule.next_min_at_ == kStart + row.until_);
  }
}

TEST_CASE("many versions keep the bounds of those that still count",
          "[rollout]") {
  VersionBound bound;
  for (std::uint64_t version = 2; version <= 200; ++version) {
    bound.OnVersionPublished(version, kStart + std::chrono::seconds(version));
  }
  CHECK(bound.newest() == 200);
  CHECK(bound.MinVersion(8s, kStart + 200s) == 192);
}

}  // namespace
}  // namespace chalkwell::rollout
