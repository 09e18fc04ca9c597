// Sends chunks to peers at the rate that request traffic leaves free on the
// machine's link.
#pragma once

#include <cstdint>

#include "chalkwell/swarm/pacer.hpp"
#include "daemon/chunk_store.hpp"
#include "daemon/loop.hpp"
#include "daemon/metrics.hpp"
#include "daemon/peer_server.hpp"

namespace chalkwell::daemon {

/// @brief Sends an agent's chunks to its peers in the swarm.
class ChunkUpload {
 public:
  /// @param bytes_per_second rate of the machine's link; 0 means no limit.
  ChunkUpload(Loop& loop, Metrics& metrics, std::uint64_t bytes_per_second);

  /// @brief Rate limiter of the link; request traffic must be reported to it,
  /// and takes precedence over chunks.
  [[nodiscard]] swarm::Pacer& pacer() noexcept { return pacer_; }

  /// @brief Responds to a call with a chunk as soon as the link has capacity,
  /// or at once with status 503 if the backlog of the link is longer than 2 s.
  void Send(const PeerCallPtr& call, const ChunkStore::Bytes& bytes);

 private:
  Loop& loop_;
  Metrics& metrics_;
  swarm::Pacer pacer_;
};

}  // namespace chalkwell::daemon
