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
  CHECK(bound.OnVersionPublished(2, kStart) == VersionChange::kNewer);
  CHECK(bound.OnVersionPublished(3, kStart + 2s) == VersionChange::kNewer);
  CHECK(bound.OnVersionPublished(2, kStart + 3s) == VersionChange::kNone);
  CHECK(bound.OnVersionPublished(3, kStart + 3s) == VersionChange::kNone);
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

TEST_CASE("a process that learns late of versions uses old ones no longer",
          "[rollout]") {
  // Regression: entries that restarted 8.5 s after version 2 and 5.5 s after
  // version 3 counted the use limit of version 1 from their start.
  struct Row {
    std::string name_;
    /// Versions that another process knows, with their times, in the order in
    /// which they arrive after this process received version 3.
    std::vector<PublishedVersion> announced_;
    core::Duration after_;
    std::uint64_t min_version_;
  };
  const PublishedVersion second{2, kStart};
  const PublishedVersion third{3, kStart + 3s};
  const auto row = GENERATE_COPY(
      Row{"nothing is announced", {}, 16400ms, 0},
      Row{"both versions", {second, third}, 8600ms, 2},
      Row{"both versions, the newer one first", {third, second}, 8600ms, 2},
      Row{"both versions, later", {second, third}, 11s, 3},
      Row{"the newer version only", {third}, 10900ms, 0},
      Row{"the newer version only, later", {third}, 11s, 3},
      Row{"a time that hardly differs", {{3, kStart + 8400ms}}, 16450ms, 0},
      Row{"an older version with a late time",
          {{2, kStart + 20s}},
          16500ms,
          3});
  CAPTURE(row.name_);
  VersionBound bound;
  bound.OnVersionPublished(3, kStart + 8500ms);
  for (const auto& [version, published_at] : row.announced_) {
    CHECK(bound.OnVersionPublished(version, published_at) !=
          VersionChange::kNewer);
  }
  CHECK(bound.MinVersion(8s, kStart + row.after_) == row.min_version_);
}

TEST_CASE("versions are announced as long as they limit older ones",
          "[rollout]") {
  struct Row {
    core::Duration after_;
    std::vector<std::uint64_t> versions_;
  };
  const auto row =
      GENERATE(Row{1s, {2, 3}}, Row{8s, {2, 3}}, Row{11s, {3}}, Row{100s, {3}});
  VersionBound bound;
  bound.OnVersionPublished(2, kStart);
  bound.OnVersionPublished(3, kStart + 3s);
  std::vector<std::uint64_t> versions;
  for (const auto& known : bound.Limiting(8s, kStart + row.after_)) {
    versions.push_back(known.version_);
  }
  CHECK(versions == row.versions_);
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
