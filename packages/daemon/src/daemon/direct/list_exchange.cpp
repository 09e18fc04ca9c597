// Lists deflate to a fifth of their size.
#include "daemon/direct/list_exchange.hpp"

#include <utility>

#include "daemon/deflate.hpp"
#include "daemon/messages.hpp"

namespace chalkwell::daemon::direct {
namespace {

constexpr std::string_view kListPath = "/v1/endpoint-list";
constexpr int kOk = 200;
/// Size limit of a list, far above that of the largest deployment.
constexpr std::size_t kMaxPackedBytes = std::size_t{16} << 20;

/// Compressed EndpointListMessage.
struct DeflatedList {
  std::uint64_t size_ = 0;
  std::string bytes_;
  MSGPACK_DEFINE(size_, bytes_)
};

std::optional<EndpointListMessage> Decode(const std::string& body,
                                          const std::string& peer) {
  const auto deflated = Unpack<DeflatedList>(body, peer);
  if (deflated.size_ > kMaxPackedBytes) {
    return std::nullopt;
  }
  const auto packed = Inflate(deflated.bytes_, deflated.size_);
  return packed ? std::optional(Unpack<EndpointListMessage>(*packed, peer))
                : std::nullopt;
}

}  // namespace

bool ListExchange::HandleCall(
    const PeerCallPtr& call,
    const std::function<EndpointListMessage()>& list) const {
  if (call->path() != kListPath) {
    return false;
  }
  const auto packed = Pack(list());
  call->Respond(kOk, Pack(DeflatedList{packed.size(), Deflate(packed)}));
  return true;
}

void ListExchange::Fetch(const std::string& address, Done done) {
  if (std::exchange(call_pending_, true)) {
    return;
  }
  connections_.Fetch(
      address, std::string(kListPath), "",
      [this, address, requested_at = loop_.Now(), done = std::move(done)](
          PeerEnd end, int status, const std::string& body) {
        call_pending_ = false;
        const bool received = end == PeerEnd::kComplete && status == kOk;
        done(received ? Decode(body, address) : std::nullopt, requested_at);
      });
}

}  // namespace chalkwell::daemon::direct
