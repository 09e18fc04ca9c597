// Tests how far a process lags behind the versions that others announced.
#include "chalkwell/config/announced_versions.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace chalkwell::config {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);
const core::InstanceId kPeer("peer");

TEST_CASE("the lag is the age of the first announcement that is not applied",
          "[config]") {
  struct Announcement {
    std::uint64_t version_;
    core::Duration at_;
  };
  struct Row {
    std::string name_;
    std::vector<Announcement> announced_;
    std::uint64_t applied_;
    core::Duration lag_;
    std::uint64_t newest_;
  };
  const auto row = GENERATE(
      Row{"nothing announced", {}, 3, 0ms, 0},
      Row{"a known version", {{3, 0ms}}, 3, 0ms, 0},
      Row{"one version", {{4, 0ms}}, 3, 2000ms, 4},
      Row{"the same version again", {{4, 0ms}, {4, 900ms}}, 3, 2000ms, 4},
      Row{"a series, of which an outdated version is applied",
          {{4, 0ms}, {5, 250ms}, {6, 500ms}, {7, 750ms}},
          5,
          1500ms,
          7},
      Row{"a series whose newest version is applied",
          {{4, 0ms}, {5, 250ms}},
          5,
          0ms,
          0},
      Row{"announcements out of order", {{6, 100ms}, {5, 400ms}}, 5, 1900ms, 6},
      Row{"an older version that is announced late",
          {{6, 100ms}, {5, 400ms}},
          4,
          1900ms,
          6});
  CAPTURE(row.name_);
  AnnouncedVersions versions;
  for (const auto& announcement : row.announced_) {
    versions.OnAnnounced(announcement.version_, kPeer,
                         kStart + announcement.at_);
  }
  versions.OnApplied(row.applied_);
  CHECK(versions.LagAt(kStart + 2s) == row.lag_);
  const auto newest = versions.Newest();
  CHECK((newest ? newest->version_ : 0) == row.newest_);
}

TEST_CASE("the newest version at a time was announced until then", "[config]") {
  AnnouncedVersions versions;
  versions.OnAnnounced(4, kPeer, kStart);
  versions.OnAnnounced(6, kPeer, kStart + 500ms);
  CHECK(versions.NewestAt(kStart - 1ms) == 0);
  CHECK(versions.NewestAt(kStart) == 4);
  CHECK(versions.NewestAt(kStart + 499ms) == 4);
  CHECK(versions.NewestAt(kStart + 500ms) == 6);
  versions.OnApplied(6);
  CHECK(versions.NewestAt(kStart + 500ms) == 0);
}

TEST_CASE("a long series of announcements does not understate the lag",
          "[config]") {
  AnnouncedVersions versions;
  const std::uint64_t count = 3 * AnnouncedVersions::kMaxVersions;
  for (std::uint64_t version = 1; version <= count; ++version) {
    versions.OnAnnounced(version, kPeer, kStart + version * 1ms);
  }
  for (std::uint64_t version = 0; version < count; ++version) {
    CAPTURE(version);
    const auto now = kStart + count * 1ms;
    versions.OnApplied(version);
    CHECK(versions.LagAt(now) >= now - (kStart + (version + 1) * 1ms));
    CHECK(versions.Newest()->version_ == count);
  }
  versions.OnApplied(count);
  CHECK(versions.empty());
}

}  // namespace
}  // namespace chalkwell::config
