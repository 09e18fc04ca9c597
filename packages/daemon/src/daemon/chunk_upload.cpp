// Reserves the link for each chunk; an answer waits for its turn.
#include "daemon/chunk_upload.hpp"

#include <string>

namespace chalkwell::daemon {
namespace {

constexpr auto kBurst = std::chrono::milliseconds(50);
/// Calls are refused when the link's backlog is longer than this.
constexpr auto kLongestBacklog = std::chrono::seconds(2);

}  // namespace

ChunkUpload::ChunkUpload(Loop& loop, Metrics& metrics,
                         std::uint64_t bytes_per_second)
    : loop_(loop), metrics_(metrics), pacer_(bytes_per_second, kBurst) {}

void ChunkUpload::Send(const PeerCallPtr& call,
                       const ChunkStore::Bytes& bytes) {
  const auto now = loop_.Now();
  if (pacer_.BacklogDelay(now) > kLongestBacklog) {
    call->Respond(503, "link busy");
    return;
  }
  const auto wait = pacer_.Reserve(bytes->size(), now);
  metrics_.Count("peer_bytes_total", {{"way", "out"}},
                 static_cast<double>(bytes->size()));
  if (wait <= core::Duration{}) {
    call->Respond(200, *bytes);
    return;
  }
  loop_.After(wait, [call, bytes] { call->Respond(200, *bytes); });
}

}  // namespace chalkwell::daemon
