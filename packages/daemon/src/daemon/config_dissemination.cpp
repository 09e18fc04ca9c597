// Epidemic push with a small fan-out; periodic exchanges resolve what the push
// missed.
#include "daemon/config_dissemination.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::daemon {
namespace {

/// The first read of the configuration store is delayed by a random part of
/// this, so that entries that start together do not read at once.
constexpr auto kMaxFirstReadDelay = std::chrono::milliseconds(1000);
constexpr auto kExchangePeriod = std::chrono::seconds(1);
/// The period is multiplied by the number of times that this fits into the
/// number of entries of the failure domain.
constexpr std::size_t kMembersPerPeriod = 16;
/// Peers to which a change is pushed at once; each forwards it to as many.
constexpr std::size_t kPushFanout = 4;
/// Periods without a message after which a peer does not count as alive.
constexpr int kLeasePeriods = 4;

using FollowUp =
    std::function<std::optional<SyncMessage>(const SyncMessage& response)>;
using OnResponse = std::function<void(const SyncMessage&)>;

/// Sends a request, and the one that `follow_up` returns for the response, if
/// any. The response to the second request is passed to `on_response` alone.
void SendSync(const std::shared_ptr<PeerConnection>& connection,
              const SyncMessage& request, const FollowUp& follow_up,
              const OnResponse& on_response) {
  // Handling the response may remove this peer and its connection.
  const std::weak_ptr<PeerConnection> weak = connection;
  connection->Fetch(
      std::string(kSyncPath), Pack(request),
      [weak, follow_up, on_response](PeerEnd end, int status,
                                     const std::string& body) {
        const auto target = weak.lock();
        if (!target || end != PeerEnd::kComplete || status != 200) {
          return;
        }
        const auto response =
            Unpack<SyncMessage>(body, target->address().ToString());
        if (on_response) {
          on_response(response);
        }
        const auto second = follow_up ? follow_up(response) : std::nullopt;
        if (second && target->connected()) {
          SendSync(target, *second, nullptr, on_response);
        }
      });
}

}  // namespace

void ExchangeDocuments(
    const std::shared_ptr<PeerConnection>& connection, ConfigReplica& node,
    const std::function<void(const SyncMessage&)>& on_response) {
  SendSync(
      connection, node.FirstRequest(),
      [&node](const SyncMessage& response) {
        return node.HandleExchangeResponse(response);
      },
      on_response);
}

void PushDocuments(const std::shared_ptr<PeerConnection>& connection,
                   ConfigReplica& node, const std::vector<std::string>& keys,
                   const OnResponse& on_response) {
  SendSync(
      connection, node.PushRequest(keys),
      [&node](const SyncMessage& response) {
        return node.HandlePushResponse(response);
      },
      on_response);
}

ConfigDisseminator::ConfigDisseminator(Loop& loop,
                                       DisseminationSettings settings,
                                       ConfigReplica& node, StoreReader& reader)
    : loop_(loop),
      settings_(std::move(settings)),
      node_(node),
      reader_(reader),
      random_(std::random_device{}()),
      period_(kExchangePeriod),
      started_(loop.Now()),
      last_message_at_(started_),
      timer_(loop) {
  node_.OnChange([this](const auto& keys) { OnChange(keys); });
  timer_.Once(period_, [this] { Exchange(loop_.Now()); });
  // Jitter keeps entries that start together from reading the configuration
  // store at once; meanwhile a peer may send the documents.
  std::uniform_real_distribution<double> fraction(0, 1);
  settings_.peer_timeout_ += std::chrono::duration_cast<core::Duration>(
      settings_.peer_timeout_ * fraction(random_) / 2);
  loop_.After(std::chrono::duration_cast<core::Duration>(kMaxFirstReadDelay *
                                                         fraction(random_)),
              [this] {
                if (node_.instances().empty()) {
                  reader_.ReadOnce();
                }
              });
}

void ConfigDisseminator::OnPeerMessage(const core::InstanceId& peer,
                                       bool reaches_service,
                                       core::TimePoint now) {
  last_message_at_ = now;
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    found->second.last_message_at_ = now;
    found->second.reaches_service_ = reaches_service;
  }
}

void ConfigDisseminator::OnChange(const std::vector<std::string>& keys) {
  const auto now = loop_.Now();
  if (std::ranges::any_of(keys, config::IsInstancesKey)) {
    UpdatePeers();
  }
  UpdateWatcherRole(now);
  Push(keys);
}

void ConfigDisseminator::UpdatePeers() {
  std::map<core::InstanceId, Peer> updated;
  for (const auto& instance : node_.instances()) {
    if (instance.kind_ != config::InstanceKind::kEntry ||
        instance.id_ == node_.self()) {
      continue;
    }
    auto known = peers_.extract(instance.id_);
    auto& peer = updated[instance.id_];
    if (!known.empty() &&
        known.mapped().instance_.peer_address_ == instance.peer_address_) {
      peer = std::move(known.mapped());
    } else {
      peer.connection_ = std::make_shared<PeerConnection>(
          loop_, ParseAddress(instance.peer_address_), settings_.connection_);
    }
    peer.instance_ = instance;
  }
  peers_ = std::move(updated);
}

bool ConfigDisseminator::MayWatch(const Peer& peer, core::TimePoint now) const {
  // A peer without any message counts as alive for one lease after the start of
  // this process. Otherwise all entries that start together would watch.
  const auto last_sign_of_life = peer.last_message_at_.value_or(started_);
  return !peer.instance_.leaving_ && peer.reaches_service_ &&
         now - last_sign_of_life <= period_ * kLeasePeriods;
}

void ConfigDisseminator::UpdateWatcherRole(core::TimePoint now) {
  if (node_.instances().empty()) {
    return;
  }
  std::vector<core::InstanceId> members{node_.self()};
  for (const auto& [id, peer] : peers_) {
    if (peer.instance_.domain_ == settings_.domain_) {
      members.push_back(id);
    }
  }
  const auto scale =
      std::max<std::size_t>(1, members.size() / kMembersPerPeriod);
  period_ = kExchangePeriod * static_cast<int>(scale);
  const auto by_rank = membership::HighestRanked(
      settings_.domain_.value() + "/watch", members, members.size());
  higher_ranked_.clear();
  std::size_t eligible = 0;
  for (const auto& id : by_rank) {
    if (id == node_.self() || eligible >= settings_.watchers_) {
      break;
    }
    higher_ranked_.push_back(id);
    eligible += MayWatch(peers_.at(id), now) ? 1 : 0;
  }
  reader_.SetWatching(eligible < settings_.watchers_);
}

void ConfigDisseminator::Exchange(core::TimePoint now) {
  UpdateWatcherRole(now);
  for (const auto& id : higher_ranked_) {
    SyncWith(peers_.at(id));
  }
  for (auto* peer : RandomPeers(1)) {
    SyncWith(*peer);
  }
  if (!reader_.watching() && now - last_message_at_ > settings_.peer_timeout_) {
    last_message_at_ = now;
    reader_.ReadOnce();
  }
  timer_.Once(period_, [this] { Exchange(loop_.Now()); });
}

std::vector<ConfigDisseminator::Peer*> ConfigDisseminator::RandomPeers(
    std::size_t count) {
  std::vector<Peer*> selected;
  for (auto& [id, peer] : peers_) {
    selected.push_back(&peer);
  }
  std::ranges::shuffle(selected, random_);
  selected.resize(std::min(selected.size(), count));
  return selected;
}

void ConfigDisseminator::Push(const std::vector<std::string>& keys) {
  for (auto* peer : RandomPeers(kPushFanout)) {
    PushDocuments(peer->connection_, node_, keys, MakeResponseHandler(*peer));
  }
}

void ConfigDisseminator::SyncWith(Peer& peer) {
  ExchangeDocuments(peer.connection_, node_, MakeResponseHandler(peer));
}

std::function<void(const SyncMessage&)> ConfigDisseminator::MakeResponseHandler(
    const Peer& peer) {
  return [this, id = peer.instance_.id_](const SyncMessage& response) {
    OnPeerMessage(id, response.reaches_service_, loop_.Now());
  };
}

}  // namespace chalkwell::daemon
