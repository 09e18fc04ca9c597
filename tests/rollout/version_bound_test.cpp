// Until when older weights may be used.
#include "chalkwell/rollout/version_bound.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::rollout {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart{1000s};

TEST_CASE("a later version does not extend the use of an older one",
          "[rollout]") {
  // Regression: versions 2 and 3 were published 2 s apart, the second restarted
  // the use limit of version 1, which was used for 10 s instead of 8 s.
  struct Row {
    core::Duration after_;
    std::uint64_t min_version_;
  };
  const auto row = GENERATE(Row{0s, 0}, Row{7900ms, 0}, Row{8s, 2},
                            Row{9900ms, 2}, Row{10s, 3}, Row{100s, 3});
  VersionBound bound;
  CHECK(bound.OnVersionPublished(2, kStart));
  CHECK(bound.OnVersionPublished(3, kStart + 2s));
  CHECK_FALSE(bound.OnVersionPublished(2, kStart + 3s));
  CHECK_FALSE(bound.OnVersionPublished(3, kStart + 3s));
  CHECK(bound.newest() == 3);
  CHECK(bound.MinVersion(8s, kStart + row.after_) == row.min_version_);
}

TEST_CASE("the next published version determines when a version expires",
          "[rollout]") {
  // Regression: engines with version 1 waited until version 3 expired the older
  // ones, although version 2 had expired version 1 two seconds earlier.
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

TEST_CASE("an older version may be used until the margin before its expiry",
          "[rollout]") {
  struct Row {
    core::Duration after_;
    std::uint64_t min_version_;
    std::uint64_t next_min_version_;
    core::Duration next_min_at_;
  };
  const auto row =
      GENERATE(Row{1s, 0, 2, 6600ms}, Row{6599ms, 0, 2, 6600ms},
               Row{6600ms, 2, 3, 11600ms}, Row{7400ms, 2, 3, 11600ms},
               Row{11600ms, 3, 0, 0ms});
  VersionBound bound;
  bound.OnVersionPublished(2, kStart);
  bound.OnVersionPublished(3, kStart + 5s);
  const auto constraint = bound.ConstraintAt(8s, 1400ms, kStart + row.after_);
  CHECK(constraint.min_version_ == row.min_version_);
  CHECK(constraint.next_min_version_ == row.next_min_version_);
  if (row.next_min_version_ > 0) {
    CHECK(constraint.next_min_at_ == kStart + row.next_min_at_);
  }
}

TEST_CASE("discarding old versions keeps the expiry of recent ones",
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
