// The engine's staging is the only storage: chunks are read from it on request,
// and both sides verify their digests.
#include "daemon/direct/chunk_exchange.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/swarm/neighbours.hpp"
#include "daemon/direct/direct_settings.hpp"
#include "daemon/messages.hpp"

namespace chalkwell::daemon::direct {
namespace {

constexpr std::string_view kChunkPath = "/v1/staged-piece";
constexpr std::string_view kManifestPath = "/v1/pieces-manifest";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr std::size_t kMaxPeerBody = std::size_t{1} << 20;
/// Maximum share of the link for chunks: responses use it too, and an event
/// queued behind several chunks is late.
constexpr double kUploadShare = 0.85;
/// A peer that announced nothing for this long has terminated or has another
/// neighbour in place of this agent. Equals three repeats of an idle peer plus
/// a margin.
constexpr auto kPeerTimeout = std::chrono::milliseconds(9500);
/// Minimum interval between replies to a peer that lacks chunks held here; the
/// same as for announcements of changes.
constexpr auto kMinAnnounceInterval = std::chrono::milliseconds(120);

std::uint64_t UploadRate(const Settings& settings) {
  return static_cast<std::uint64_t>(static_cast<double>(LinkRate(settings)) *
                                    kUploadShare);
}

ManifestMessage ToMessage(const WeightsManifest& manifest) {
  ManifestMessage message{manifest.model_, manifest.version_, {}};
  for (const auto& digest : manifest.chunk_digests_) {
    const auto& bytes = digest.bytes();
    message.digests_.emplace_back(bytes.begin(), bytes.end());
  }
  return message;
}

std::optional<WeightsManifest> ToManifest(const ManifestMessage& message) {
  WeightsManifest manifest{message.model_, message.version_, {}};
  for (const auto& bytes : message.digests_) {
    core::Digest::Bytes digest{};
    if (bytes.size() != digest.size()) {
      return std::nullopt;
    }
    std::ranges::copy(bytes, digest.begin());
    manifest.chunk_digests_.emplace_back(digest);
  }
  return manifest;
}

}  // namespace

ChunkExchange::ChunkExchange(ProcessBase& process, const WeightsClient& client,
                             MeshNode& mesh, ChunkProvider provider)
    : process_(process),
      client_(client),
      mesh_(mesh),
      provider_(std::move(provider)),
      self_(mesh.self().address_),
      upload_pacer_(UploadRate(process.settings()), {}),
      server_(std::make_unique<PeerServer>(
          process.loop(),
          ParseAddress(process.settings().Text("listen", "peer")), kMaxPeerBody,
          [this](const PeerCallPtr& call) { OnCall(call); })) {}

void ChunkExchange::SetAgents(const AgentAddresses& agents) {
  agents_.clear();
  for (const auto& [domain, addresses] : agents) {
    for (const auto& address : addresses) {
      agents_.push_back(
          {core::InstanceId(address), core::FailureDomainId(domain)});
    }
  }
  neighbours_ = swarm::NeighboursOf({self_, process_.domain()}, agents_);
}

core::InstanceId ChunkExchange::OnHeld(const membership::Member& sender,
                                       const HeldChunksMessage& held,
                                       core::TimePoint now) {
  core::InstanceId id(sender.address_);
  peers_[id] = {sender, held, now};
  return id;
}

std::vector<core::InstanceId> ChunkExchange::RemoveUnresponsive(
    core::TimePoint now) {
  std::vector<core::InstanceId> unresponsive;
  for (const auto& [id, peer] : peers_) {
    if (now - peer.last_received_ >= kPeerTimeout) {
      unresponsive.push_back(id);
    }
  }
  for (const auto& id : unresponsive) {
    peers_.erase(id);
  }
  return unresponsive;
}

bool ChunkExchange::MayAnnounceTo(const core::InstanceId& agent,
                                  core::TimePoint now) const {
  const auto announced = announced_at_.find(agent);
  return announced == announced_at_.end() ||
         now - announced->second >= kMinAnnounceInterval;
}

void ChunkExchange::AnnounceTo(const core::InstanceId& agent,
                               const HeldChunksMessage& held) {
  const auto known =
      std::ranges::find(agents_, agent, &swarm::SwarmMember::id_);
  const auto domain =
      known == agents_.end() ? process_.domain() : known->domain_;
  announced_at_[agent] = process_.loop().Now();
  mesh_.SendHeldChunks(agent.value(), domain, held);
}

std::vector<swarm::SwarmMember> ChunkExchange::MembersLacking(
    std::uint64_t version, bool self_degraded) const {
  std::vector<swarm::SwarmMember> members{
      {self_, process_.domain(), self_degraded}};
  const auto min_version = std::max<std::uint64_t>(version, 1);
  for (const auto& agent : agents_) {
    if (agent.id_ == self_) {
      continue;
    }
    const auto peer = peers_.find(agent.id_);
    const bool announced = peer != peers_.end();
    if (!announced || peer->second.held_.serving_ < min_version) {
      const bool degraded = announced && peer->second.held_.degraded_;
      members.push_back({agent.id_, agent.domain_, degraded});
    }
  }
  return members;
}

std::shared_ptr<PeerConnection> ChunkExchange::ConnectionTo(
    const core::InstanceId& peer) {
  const auto& address = peers_.at(peer).member_.address_;
  auto& connection = connections_[address];
  if (connection == nullptr) {
    connection = std::make_shared<PeerConnection>(process_.loop(),
                                                  ParseAddress(address));
  }
  return connection;
}

void ChunkExchange::RequestChunk(
    const core::InstanceId& peer, const ChunkRequest& request,
    std::function<void(std::optional<ReceivedChunk>)> done) {
  const auto chunk = std::size_t{request.chunk_};
  const auto since = process_.loop().Now();
  requests_[chunk] = ConnectionTo(peer)->Fetch(
      std::string(kChunkPath), Pack(request),
      [this, peer, chunk, since, done = std::move(done)](
          PeerEnd end, int status, const std::string& body) {
        requests_.erase(chunk);
        if (end != PeerEnd::kComplete || status != kOk) {
          done(std::nullopt);
          return;
        }
        auto response = Unpack<ChunkResponse>(body, peer.value());
        const auto transfer = process_.loop().Now() - since -
                              std::chrono::milliseconds(response.pacing_ms_);
        done(ReceivedChunk{std::move(response.bytes_), transfer});
      });
}

void ChunkExchange::CancelChunk(std::size_t chunk) {
  const auto call = requests_.extract(chunk);
  if (!call.empty()) {
    call.mapped()->Cancel();
  }
}

void ChunkExchange::CancelChunks() {
  for (const auto& [chunk, call] : std::exchange(requests_, {})) {
    call->Cancel();
  }
}

void ChunkExchange::RequestManifest(
    const core::InstanceId& peer, const ChunkRequest& request,
    std::function<void(std::optional<WeightsManifest>)> done) {
  ConnectionTo(peer)->Fetch(
      std::string(kManifestPath), Pack(request),
      [this, peer, done = std::move(done)](PeerEnd end, int status,
                                           const std::string& body) {
        std::optional<WeightsManifest> manifest;
        if (end == PeerEnd::kComplete && status == kOk) {
          manifest = ToManifest(Unpack<ManifestMessage>(body, peer.value()));
        }
        const auto known = peers_.find(peer);
        if (!manifest && known != peers_.end()) {
          known->second.held_.has_manifest_ = false;
        }
        done(std::move(manifest));
      });
}

void ChunkExchange::OnCall(const PeerCallPtr& call) {
  const auto message = Unpack<ChunkRequest>(call->body(), "peer");
  if (call->path() == kChunkPath) {
    HandleChunkRequest(call, message);
  } else if (call->path() == kManifestPath) {
    HandleManifestRequest(call, message);
  } else {
    call->Respond(kNotFound, "");
  }
}

void ChunkExchange::HandleManifestRequest(const PeerCallPtr& call,
                                          const ChunkRequest& message) {
  const auto* manifest = provider_.manifest_(message.version_);
  if (manifest != nullptr && manifest->model_ == message.model_) {
    call->Respond(kOk, Pack(ToMessage(*manifest)));
  } else {
    call->Respond(kNotFound, "");
  }
}

bool ChunkExchange::IsIntact(const ChunkRequest& message,
                             const std::optional<std::string>& bytes) const {
  if (!bytes) {
    return false;
  }
  const auto* manifest = provider_.manifest_(message.version_);
  const bool known =
      manifest != nullptr && message.chunk_ < manifest->chunk_digests_.size();
  return !known || core::Digest::Sha256Of(*bytes) ==
                       manifest->chunk_digests_[message.chunk_];
}

void ChunkExchange::HandleChunkRequest(const PeerCallPtr& call,
                                       const ChunkRequest& message) {
  if (!provider_.holds_(message)) {
    call->Respond(kNotFound, "");
    return;
  }
  if (const auto* copy = provider_.find_copy_(message)) {
    SendChunk(call, message, *copy);
    return;
  }
  client_.read_staged_chunk_(
      message.model_, message.chunk_, [this, call, message](StagedChunk read) {
        // If the chunk was overwritten during the read, a copy was saved
        // before.
        const auto* copy = provider_.find_copy_(message);
        SendChunk(
            call, message,
            copy == nullptr ? std::move(read.bytes_) : std::optional(*copy));
      });
}

void ChunkExchange::SendChunk(const PeerCallPtr& call,
                              const ChunkRequest& message,
                              std::optional<std::string> bytes) {
  if (!IsIntact(message, bytes)) {
    // While it is announced, no member would fetch it from the origin.
    provider_.on_unreadable_(message);
    call->Respond(kNotFound, "");
    return;
  }
  const auto wait = upload_pacer_.Reserve(bytes->size(), process_.loop().Now());
  ChunkResponse response;
  response.pacing_ms_ = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
  response.bytes_ = std::move(*bytes);
  process_.loop().After(wait, [call, response = std::move(response)] {
    call->Respond(kOk, Pack(response));
  });
}

}  // namespace chalkwell::daemon::direct
