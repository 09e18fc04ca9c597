// The engine's staging is the store: pieces are read from it when asked for,
// and both sides compare them with their digests.
#include "daemon/direct/chunk_exchange.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/swarm/neighbours.hpp"
#include "daemon/direct/direct_settings.hpp"
#include "daemon/messages.hpp"

namespace chalkwell::daemon::direct {
namespace {

constexpr std::string_view kPiecePath = "/v1/staged-piece";
constexpr std::string_view kManifestPath = "/v1/pieces-manifest";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr std::size_t kMaxPeerBody = std::size_t{1} << 20;
/// Part of the link that pieces may take: answers share it, and an event that
/// waits behind several pieces is late.
constexpr double kUploadShare = 0.85;
/// A peer that announced nothing for this long is gone, or has another
/// neighbour in this one's place: three repeats while nothing is to be fetched.
constexpr auto kPeerSilence = std::chrono::milliseconds(9500);
/// A peer that lacks what is held here is answered this often at most, as often
/// as changes are told.
constexpr auto kAnswerInterval = std::chrono::milliseconds(120);

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

PieceExchange::PieceExchange(ProcessBase& process, const WeightsClient& client,
                             MeshNode& mesh, PieceSource source)
    : process_(process),
      client_(client),
      mesh_(mesh),
      source_(std::move(source)),
      self_(mesh.self().address_),
      upload_(UploadRate(process.settings()), {}),
      server_(std::make_unique<PeerServer>(
          process.loop(),
          ParseAddress(process.settings().Text("listen", "peer")), kMaxPeerBody,
          [this](const PeerCallPtr& call) { OnCall(call); })) {}

void PieceExchange::SetAgents(const AgentAddresses& agents) {
  agents_.clear();
  for (const auto& [domain, addresses] : agents) {
    for (const auto& address : addresses) {
      agents_.push_back(
          {core::InstanceId(address), core::FailureDomainId(domain)});
    }
  }
  neighbours_ = swarm::NeighboursOf({self_, process_.domain()}, agents_);
}

core::InstanceId PieceExchange::OnHeld(const membership::Member& sender,
                                       const HeldChunksMessage& held,
                                       core::TimePoint now) {
  core::InstanceId id(sender.address_);
  peers_[id] = {sender, held, now};
  return id;
}

std::vector<core::InstanceId> PieceExchange::TakeSilent(core::TimePoint now) {
  std::vector<core::InstanceId> silent;
  for (const auto& [id, peer] : peers_) {
    if (now - peer.heard_at_ >= kPeerSilence) {
      silent.push_back(id);
    }
  }
  for (const auto& id : silent) {
    peers_.erase(id);
  }
  return silent;
}

bool PieceExchange::MayTell(const core::InstanceId& agent,
                            core::TimePoint now) const {
  const auto told = told_at_.find(agent);
  return told == told_at_.end() || now - told->second >= kAnswerInterval;
}

void PieceExchange::Tell(const core::InstanceId& agent,
                         const HeldChunksMessage& held) {
  const auto known =
      std::ranges::find(agents_, agent, &swarm::SwarmMember::id_);
  const auto domain =
      known == agents_.end() ? process_.domain() : known->domain_;
  told_at_[agent] = process_.loop().Now();
  mesh_.SendHeldChunks(agent.value(), domain, held);
}

std::vector<swarm::SwarmMember> PieceExchange::Lacking(
    std::uint64_t version, bool self_narrowed) const {
  std::vector<swarm::SwarmMember> members{
      {self_, process_.domain(), self_narrowed}};
  const auto least = std::max<std::uint64_t>(version, 1);
  for (const auto& agent : agents_) {
    if (agent.id_ == self_) {
      continue;
    }
    const auto peer = peers_.find(agent.id_);
    const bool heard = peer != peers_.end();
    if (!heard || peer->second.held_.serving_ < least) {
      const bool narrowed = heard && peer->second.held_.degraded_;
      members.push_back({agent.id_, agent.domain_, narrowed});
    }
  }
  return members;
}

std::shared_ptr<PeerConnection> PieceExchange::ConnectionTo(
    const core::InstanceId& peer) {
  const auto& address = peers_.at(peer).member_.address_;
  auto& connection = connections_[address];
  if (connection == nullptr) {
    connection = std::make_shared<PeerConnection>(process_.loop(),
                                                  ParseAddress(address));
  }
  return connection;
}

void PieceExchange::AskPiece(
    const core::InstanceId& peer, const PieceMessage& ask,
    std::function<void(std::optional<ReceivedPiece>)> done) {
  const auto piece = std::size_t{ask.piece_};
  const auto since = process_.loop().Now();
  asked_[piece] = ConnectionTo(peer)->Ask(
      std::string(kPiecePath), Pack(ask),
      [this, peer, piece, since, done = std::move(done)](
          PeerEnd end, int status, const std::string& body) {
        asked_.erase(piece);
        if (end != PeerEnd::kWhole || status != kOk) {
          done(std::nullopt);
          return;
        }
        auto answer = Unpack<PieceAnswer>(body, peer.value());
        const auto transfer = process_.loop().Now() - since -
                              std::chrono::milliseconds(answer.waited_ms_);
        done(ReceivedPiece{std::move(answer.bytes_), transfer});
      });
}

void PieceExchange::CancelPiece(std::size_t piece) {
  const auto call = asked_.extract(piece);
  if (!call.empty()) {
    call.mapped()->Cancel();
  }
}

void PieceExchange::CancelPieces() {
  for (const auto& [piece, call] : std::exchange(asked_, {})) {
    call->Cancel();
  }
}

void PieceExchange::AskManifest(
    const core::InstanceId& peer, const PieceMessage& ask,
    std::function<void(std::optional<WeightsManifest>)> done) {
  ConnectionTo(peer)->Ask(
      std::string(kManifestPath), Pack(ask),
      [this, peer, done = std::move(done)](PeerEnd end, int status,
                                           const std::string& body) {
        std::optional<WeightsManifest> manifest;
        if (end == PeerEnd::kWhole && status == kOk) {
          manifest = ToManifest(Unpack<ManifestMessage>(body, peer.value()));
        }
        const auto known = peers_.find(peer);
        if (!manifest && known != peers_.end()) {
          known->second.held_.has_manifest_ = false;
        }
        done(std::move(manifest));
      });
}

void PieceExchange::OnCall(const PeerCallPtr& call) {
  const auto message = Unpack<PieceMessage>(call->body(), "peer");
  if (call->path() == kPiecePath) {
    AnswerPiece(call, message);
  } else if (call->path() == kManifestPath) {
    AnswerManifest(call, message);
  } else {
    call->Respond(kNotFound, "");
  }
}

void PieceExchange::AnswerManifest(const PeerCallPtr& call,
                                   const PieceMessage& message) {
  const auto* manifest = source_.manifest_(message.version_);
  if (manifest != nullptr && manifest->model_ == message.model_) {
    call->Respond(kOk, Pack(ToMessage(*manifest)));
  } else {
    call->Respond(kNotFound, "");
  }
}

bool PieceExchange::Whole(const PieceMessage& message,
                          const std::optional<std::string>& bytes) const {
  if (!bytes) {
    return false;
  }
  const auto* manifest = source_.manifest_(message.version_);
  const bool known =
      manifest != nullptr && message.piece_ < manifest->chunk_digests_.size();
  return !known || core::Digest::Sha256Of(*bytes) ==
                       manifest->chunk_digests_[message.piece_];
}

void PieceExchange::AnswerPiece(const PeerCallPtr& call,
                                const PieceMessage& message) {
  if (!source_.holds_(message)) {
    call->Respond(kNotFound, "");
    return;
  }
  if (const auto* copy = source_.copy_(message)) {
    GivePiece(call, message, *copy);
    return;
  }
  client_.read_staged_chunk_(
      message.model_, message.piece_,
      [this, call, message](std::optional<std::string> bytes) {
        // Overwritten while it was read, it was copied before.
        const auto* copy = source_.copy_(message);
        GivePiece(call, message,
                  copy == nullptr ? std::move(bytes) : std::optional(*copy));
      });
}

void PieceExchange::GivePiece(const PeerCallPtr& call,
                              const PieceMessage& message,
                              std::optional<std::string> bytes) {
  if (!Whole(message, bytes)) {
    // Announced on, it would keep all others from drawing it.
    source_.on_missing_(message);
    call->Respond(kNotFound, "");
    return;
  }
  const auto wait = upload_.Reserve(bytes->size(), process_.loop().Now());
  PieceAnswer answer;
  answer.waited_ms_ = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
  answer.bytes_ = std::move(*bytes);
  process_.loop().After(wait, [call, answer = std::move(answer)] {
    call->Respond(kOk, Pack(answer));
  });
}

}  // namespace chalkwell::daemon::direct
