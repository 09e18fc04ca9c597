// Reserves link time for each chunk and delays its response until then.
#include "daemon/chunk_upload.hpp"

#include <string>

namespace chalkwell::daemon {
namespace {

constexpr auto kPacerBurst = std::chrono::milliseconds(50);
/// Calls are refused while the backlog of the link is longer than this.
constexpr auto kMaxBacklogDelay = std::chrono::seconds(2);

}  // namespace

ChunkUpload::ChunkUpload(Loop& loop, Metrics& metrics,
                         std::uint64_t bytes_per_second)
    : loop_(loop), metrics_(metrics), pacer_(bytes_per_second, kPacerBurst) {}

void ChunkUpload::Send(const PeerCallPtr& call,
                       const ChunkStore::Bytes& bytes) {
  const auto now = loop_.Now();
  if (pacer_.BacklogDelay(now) > kMaxBacklogDelay) {
    call->Respond(503, "link busy");
    return;
  }
  const auto delay = pacer_.Reserve(bytes->size(), now);
  metrics_.Count("peer_bytes_total", {{"way", "out"}},
                 static_cast<double>(bytes->size()));
  if (delay <= core::Duration{}) {
    call->Respond(200, *bytes);
    return;
  }
  loop_.After(delay, [call, bytes] { call->Respond(200, *bytes); });
}

}  // namespace chalkwell::daemon
