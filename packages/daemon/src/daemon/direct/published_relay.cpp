// Sections are forwarded as received from the store; each process decodes them
// itself.
#include "daemon/direct/published_relay.hpp"

#include <optional>
#include <utility>
#include <vector>

#include "daemon/deflate.hpp"
#include "daemon/messages.hpp"

namespace chalkwell::daemon::direct {
namespace {

constexpr std::string_view kPublishedPath = "/v1/published";
constexpr int kOk = 200;
/// Size limit of a response, far above that of all sections together.
constexpr std::size_t kMaxPackedBytes = std::size_t{16} << 20;

}  // namespace

PublishedRelay::PublishedRelay(Loop& loop, const StoreClient& store,
                               MeshNode& mesh, EventLog& log, Handler handler)
    : loop_(loop),
      store_(store),
      mesh_(mesh),
      log_(log),
      handler_(std::move(handler)) {}

void PublishedRelay::Store(Section section, const StoreSnapshot& snapshot) {
  auto& stored = sections_[section];
  if (snapshot.encoded_pages_.empty() ||
      snapshot.revision_ < stored.revision_) {
    return;
  }
  stored = {snapshot.revision_, snapshot.encoded_pages_, snapshot.as_of_};
}

bool PublishedRelay::HandleCall(const PeerCallPtr& call) {
  if (call->path() != kPublishedPath) {
    return false;
  }
  const auto request = Unpack<PublishedRequest>(call->body(), "peer");
  PublishedResponse response;
  for (const auto& [section, stored] : sections_) {
    const auto number = static_cast<std::uint8_t>(section);
    const auto known = request.known_.find(number);
    if (known == request.known_.end() ||
        ToRevision(known->second) < stored.revision_) {
      response.revisions_[number] = ToMessage(stored.revision_);
      response.pages_[number] = stored.pages_;
      response.ages_ms_[number] = ToAgeMs(loop_.Now() - stored.as_of_);
    }
  }
  const auto packed = Pack(response);
  call->Respond(kOk, Pack(DeflatedResponse{packed.size(), Deflate(packed)}));
  return true;
}

void PublishedRelay::Fetch() {
  std::vector<membership::Member> entries;
  for (const auto& member : mesh_.LiveMembers()) {
    if (member.kind_ == membership::MemberKind::kEntry) {
      entries.push_back(member);
    }
  }
  if (entries.empty() || request_pending_) {
    return;
  }
  const auto& member = entries[next_entry_++ % entries.size()];
  auto& connection = connections_[member.address_];
  if (connection == nullptr) {
    connection =
        std::make_unique<PeerConnection>(loop_, ParseAddress(member.address_));
  }
  PublishedRequest request;
  for (const auto& [section, stored] : sections_) {
    request.known_[static_cast<std::uint8_t>(section)] =
        ToMessage(stored.revision_);
  }
  request_pending_ = true;
  connection->Fetch(
      std::string(kPublishedPath), Pack(request),
      [this, peer = member.id_.value(), requested_at = loop_.Now()](
          PeerEnd end, int status, const std::string& body) {
        request_pending_ = false;
        if (end == PeerEnd::kComplete && status == kOk) {
          OnResponse(body, peer, requested_at);
        }
      });
}

void PublishedRelay::OnResponse(const std::string& body,
                                const std::string& peer,
                                core::TimePoint requested_at) {
  const auto deflated = Unpack<DeflatedResponse>(body, peer);
  const auto packed = deflated.size_ <= kMaxPackedBytes
                          ? Inflate(deflated.bytes_, deflated.size_)
                          : std::nullopt;
  if (!packed) {
    throw core::Error(core::Step::kParse, peer,
                      "published sections do not inflate to their size");
  }
  const auto response = Unpack<PublishedResponse>(*packed, peer);
  for (const auto& [number, pages] : response.pages_) {
    const auto section = static_cast<Section>(number);
    const auto revision = response.revisions_.find(number);
    const auto era =
        revision == response.revisions_.end() ? 0 : revision->second.era_;
    auto snapshot = store_.decode_(section, era, pages);
    if (snapshot.outcome_ != ReadOutcome::kRead) {
      continue;
    }
    const auto age = response.ages_ms_.find(number);
    if (age != response.ages_ms_.end()) {
      snapshot.as_of_ = requested_at - ToAge(age->second);
    }
    log_.Write(core::EventNumber::kLearnedFromPeer,
               {{"peer", peer},
                {"section", std::to_string(number)},
                {"revision", std::to_string(snapshot.revision_.number_)}});
    Store(section, snapshot);
    handler_(section, snapshot);
  }
}

}  // namespace chalkwell::daemon::direct
