// Chunks that turn bad in the staging of an engine, with a real agent.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using standins::OriginStandin;
using namespace std::chrono_literals;

/// Time of a slow read; an agent waits for 1.5 s.
constexpr auto kSlowRead = 1300ms;
constexpr std::uint64_t kOldVersion = 1;
constexpr std::uint64_t kNewVersion = 2;

bool AreOfVersion(const std::map<std::size_t, std::string>& chunks,
                  std::uint64_t version) {
  return chunks.size() == kChunkCount &&
         std::ranges::all_of(chunks, [&](const auto& chunk) {
           return chunk.second == OriginStandin::Chunk(version, chunk.first);
         });
}

/// When a chunk turns bad while its agent verifies all of them.
struct Row {
  std::string name_;
  std::size_t corrupt_chunk_;
  /// The chunk whose read it follows.
  std::size_t after_read_of_;
  /// Chunks whose first read is slow.
  std::size_t slow_from_;
  std::size_t slow_to_;
};

TEST_CASE("an engine loads a chunk that turned bad long before the order",
          "[platform][staging]") {
  // Regression: each chunk was compared once, and the order followed the last
  // comparison, however long ago the first one was.
  const auto row = GENERATE(Row{"the first chunk, slow reads", 0, 0, 1, 3},
                            Row{"the second chunk, slow reads", 1, 1, 2, 4},
                            Row{"a chunk not yet read", 4, 0, 0, 0});
  CAPTURE(row.name_);
  Deployment deployment;
  const auto agent = deployment.StartAgent("a1");
  REQUIRE(
      Eventually([&] { return deployment.engine_.version() == kOldVersion; }));
  std::map<std::size_t, int> reads;
  deployment.engine_.OnStagedRead([&](std::size_t chunk) {
    // Chunks of the old version are read before they are overwritten.
    if (reads.empty() &&
        !AreOfVersion(deployment.engine_.staged(), kNewVersion)) {
      return 0ms;
    }
    const bool first = ++reads[chunk] == 1;
    if (first && chunk == row.after_read_of_) {
      deployment.engine_.CorruptChunk(row.corrupt_chunk_);
    }
    const bool slow = chunk >= row.slow_from_ && chunk <= row.slow_to_;
    return first && slow ? std::chrono::milliseconds(kSlowRead) : 0ms;
  });
  deployment.store_.Put("op/version/m",
                        {{"model", "m"}, {"version", kNewVersion}});
  REQUIRE(
      Eventually([&] { return deployment.engine_.version() == kNewVersion; }));
  CHECK(AreOfVersion(deployment.engine_.loaded(), kNewVersion));
}

}  // namespace
}  // namespace chalkwell::platform_tests
