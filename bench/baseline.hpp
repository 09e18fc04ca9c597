// Baseline transfers that the burst benchmark compares with: every node fetches
// all chunks from the origin, or from its parent in a fixed binary tree. All
// nodes run in this process; each has rate limits of its own.
#pragma once

#include <chrono>
#include <cstdint>

namespace chalkwell::bench {

/// @brief Size and topology of a baseline transfer.
struct BaselineSpec {
  /// Nodes that receive the data, the origin not counted.
  std::size_t node_count_ = 0;
  /// Bytes that each node receives; rounded down to a multiple of the chunk
  /// size.
  std::uint64_t total_bytes_ = 0;
  std::uint64_t chunk_bytes_ = 0;
  /// Limit of each node, for each direction.
  std::uint64_t node_bytes_per_second_ = 0;
  std::uint64_t origin_bytes_per_second_ = 0;
  /// True: node 0 fetches from the origin and node i from node (i - 1) / 2.
  /// False: every node fetches from the origin.
  bool uses_tree_ = false;
};

/// @brief Runs the transfer over HTTP on loopback; blocks until it has ended.
/// @return time until the last node holds all chunks.
[[nodiscard]] std::chrono::duration<double> RunBaseline(
    const BaselineSpec& spec);

}  // namespace chalkwell::bench
