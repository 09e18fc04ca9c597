// Pieces of served weights, and how soon the newest are out.
#include "chalkwell/swarm/older_version_chunks.hpp"

#include <catch2/catch.hpp>

#include "chalkwell/swarm/origin_progress.hpp"

namespace chalkwell::swarm {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kVersion = 7;

ChunkSet AllOf(std::size_t size) {
  ChunkSet all(size);
  for (std::size_t piece = 0; piece < size; ++piece) {
    all.Add(piece);
  }
  return all;
}

TEST_CASE("older pieces that are overwritten can be given from copies",
          "[swarm]") {
  OlderVersionChunks older(8);
  older.Start(kVersion, AllOf(4));
  CHECK(older.NeedsCopy(1));
  older.SaveCopy(1, "abcd");
  CHECK_FALSE(older.NeedsCopy(1));
  REQUIRE(older.FindCopy(1) != nullptr);
  CHECK(*older.FindCopy(1) == "abcd");
  CHECK(older.available().full());
  older.SaveCopy(2, "efgh");
  // No room is left.
  older.SaveCopy(3, "i");
  CHECK(older.FindCopy(3) == nullptr);
  CHECK_FALSE(older.available().Has(3));
  older.Remove(1);
  CHECK(older.FindCopy(1) == nullptr);
  CHECK(older.available().count() == 2);
  older.Start(kVersion + 1, AllOf(2));
  CHECK(older.FindCopy(2) == nullptr);
  CHECK(older.version() == kVersion + 1);
}

TEST_CASE("a version is out of its source by the rate of the last second",
          "[swarm]") {
  struct Row {
    std::size_t seen_;
    std::optional<core::Duration> left_;
  };
  // Ten pieces of 100 each second.
  const auto row =
      GENERATE(Row{0, std::nullopt}, Row{10, 9s}, Row{50, 5s}, Row{100, 0s});
  OriginProgress progress;
  core::TimePoint now{1h};
  progress.Start(100, now);
  progress.OnAvailable(0, now);
  for (std::size_t seen = 1; seen <= row.seen_; ++seen) {
    now += 100ms;
    progress.OnAvailable(seen, now);
  }
  const auto left = progress.TimeLeft(now);
  REQUIRE(left.has_value() == row.left_.has_value());
  if (left) {
    CHECK(std::chrono::abs(*left - *row.left_) < 100ms);
  }
  // Then nothing appears any more.
  const auto later = progress.TimeLeft(now + 1s);
  CHECK(later.has_value() == (row.seen_ == 100));
}

TEST_CASE("a source is not judged before it was observed", "[swarm]") {
  OriginProgress progress;
  const core::TimePoint now{1h};
  progress.Start(0, now);
  CHECK_FALSE(progress.HasRate(now + 900ms));
  CHECK(progress.HasRate(now + 1s));
  CHECK_FALSE(progress.TimeLeft(now + 5s).has_value());
}

}  // namespace
}  // namespace chalkwell::swarm
