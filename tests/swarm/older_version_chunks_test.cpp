// Copies of the served version's chunks, and the estimate of when every chunk
// of the newest version has left the origin.
#include "chalkwell/swarm/older_version_chunks.hpp"

#include <catch2/catch.hpp>

#include "chalkwell/swarm/availability_forecast.hpp"

namespace chalkwell::swarm {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kVersion = 7;

ChunkSet AllOf(std::size_t size) {
  ChunkSet all(size);
  for (std::size_t chunk = 0; chunk < size; ++chunk) {
    all.Add(chunk);
  }
  return all;
}

TEST_CASE("overwritten chunks of the older version are available as copies",
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
  // The copies are at their size limit.
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

TEST_CASE("the remaining time follows from the rate of the last second",
          "[swarm]") {
  struct Row {
    std::size_t available_;
    std::optional<core::Duration> remaining_;
  };
  // Ten of 100 chunks become available per second.
  const auto row =
      GENERATE(Row{0, std::nullopt}, Row{10, 9s}, Row{50, 5s}, Row{100, 0s});
  AvailabilityForecast progress;
  core::TimePoint now{1h};
  progress.Start(100, now);
  progress.OnAvailable(0, now);
  for (std::size_t available = 1; available <= row.available_; ++available) {
    now += 100ms;
    progress.OnAvailable(available, now);
  }
  const auto remaining = progress.TimeLeft(now);
  REQUIRE(remaining.has_value() == row.remaining_.has_value());
  if (remaining) {
    CHECK(std::chrono::abs(*remaining - *row.remaining_) < 100ms);
  }
  // From then on no chunk becomes available.
  const auto later = progress.TimeLeft(now + 1s);
  CHECK(later.has_value() == (row.available_ == 100));
}

TEST_CASE("there is no estimate before the observation is long enough",
          "[swarm]") {
  AvailabilityForecast progress;
  const core::TimePoint now{1h};
  progress.Start(0, now);
  CHECK_FALSE(progress.HasRate(now + 900ms));
  CHECK(progress.HasRate(now + 1s));
  CHECK_FALSE(progress.TimeLeft(now + 5s).has_value());
}

}  // namespace
}  // namespace chalkwell::swarm
