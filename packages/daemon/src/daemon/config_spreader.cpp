// Epidemic push with a small fan-out, repaired by periodic exchange.
#include "daemon/config_spreader.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::daemon {
namespace {

/// First reads of the service are spread over this.
constexpr auto kStartSpread = std::chrono::milliseconds(1000);
constexpr auto kExchangePeriod = std::chrono::seconds(1);
/// Members of a domain for which the period stays as it is.
constexpr std::size_t kPeriodMembers = 16;
/// Peers that learn at once of a change; each of them tells as many.
constexpr std::size_t kPushFanout = 4;
/// Periods without a word after which a peer does not count as alive.
constexpr int kLeasePeriods = 4;

using OnAnswer =
    std::function<std::optional<SyncMessage>(const SyncMessage& answer)>;
using OnHeard = std::function<void(const SyncMessage&)>;

/// Sends a request, and one more if `next` makes one of the answer.
void Ask(const std::shared_ptr<PeerConnection>& connection,
         const SyncMessage& request, const OnAnswer& next,
         const OnHeard& on_heard) {
  // Taking the answer may drop this very peer from the list.
  const std::weak_ptr<PeerConnection> weak = connection;
  connection->Ask(
      std::string(kSyncPath), Pack(request),
      [weak, next, on_heard](PeerEnd end, int status, const std::string& body) {
        const auto target = weak.lock();
        if (!target || end != PeerEnd::kWhole || status != 200) {
          return;
        }
        const auto answer =
            Unpack<SyncMessage>(body, target->address().ToString());
        if (on_heard) {
          on_heard(answer);
        }
        const auto follow = next ? next(answer) : std::nullopt;
        if (follow && target->connected()) {
          Ask(target, *follow, nullptr, on_heard);
        }
      });
}

}  // namespace

void ExchangeDocuments(
    const std::shared_ptr<PeerConnection>& connection, ConfigNode& node,
    const std::function<void(const SyncMessage&)>& on_heard) {
  Ask(
      connection, node.FirstRequest(),
      [&node](const SyncMessage& answer) { return node.HandleAnswer(answer); },
      on_heard);
}

void PushDocuments(const std::shared_ptr<PeerConnection>& connection,
                   ConfigNode& node, const std::vector<std::string>& keys,
                   const OnHeard& on_heard) {
  Ask(
      connection, node.PushRequest(keys),
      [&node](const SyncMessage& answer) {
        return node.HandlePushAnswer(answer);
      },
      on_heard);
}

ConfigSpreader::ConfigSpreader(Loop& loop, SpreaderSettings settings,
                               ConfigNode& node, PlatformReader& reader)
    : loop_(loop),
      settings_(std::move(settings)),
      node_(node),
      reader_(reader),
      random_(std::random_device{}()),
      period_(kExchangePeriod),
      started_(loop.Now()),
      last_heard_(started_),
      timer_(loop) {
  node_.OnChange([this](const auto& keys) { OnChange(keys); });
  timer_.Once(period_, [this] { Exchange(loop_.Now()); });
  // When everything starts at once the service must not be asked by all at
  // once; a peer may bring the documents before this process asks.
  std::uniform_real_distribution<double> share(0, 1);
  settings_.silence_ += std::chrono::duration_cast<core::Duration>(
      settings_.silence_ * share(random_) / 2);
  loop_.After(
      std::chrono::duration_cast<core::Duration>(kStartSpread * share(random_)),
      [this] {
        if (node_.instances().empty()) {
          reader_.ReadOnce();
        }
      });
}

void ConfigSpreader::OnPeerHeard(const core::InstanceId& peer,
                                 bool reaches_service, core::TimePoint now) {
  last_heard_ = now;
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    found->second.last_heard_ = now;
    found->second.reaches_service_ = reaches_service;
  }
}

void ConfigSpreader::OnChange(const std::vector<std::string>& keys) {
  const auto now = loop_.Now();
  if (std::ranges::any_of(keys, config::IsInstancesKey)) {
    UpdatePeers();
  }
  UpdateDuty(now);
  Push(keys);
}

void ConfigSpreader::UpdatePeers() {
  std::map<core::InstanceId, Peer> next;
  for (const auto& instance : node_.instances()) {
    if (instance.kind_ != config::InstanceKind::kEntry ||
        instance.id_ == node_.self()) {
      continue;
    }
    auto known = peers_.extract(instance.id_);
    auto& peer = next[instance.id_];
    if (!known.empty() && known.mapped().instance_.peer_ == instance.peer_) {
      peer = std::move(known.mapped());
    } else {
      peer.connection_ = std::make_shared<PeerConnection>(
          loop_, ParseAddress(instance.peer_), settings_.connection_);
    }
    peer.instance_ = instance;
  }
  peers_ = std::move(next);
}

bool ConfigSpreader::MayWatch(const Peer& peer, core::TimePoint now) const {
  // A member that was never heard counts as alive for one lease after the
  // start, so that not everyone takes up the watch when all start at once.
  const auto heard = peer.last_heard_.value_or(started_);
  return !peer.instance_.leaving_ && peer.reaches_service_ &&
         now - heard <= period_ * kLeasePeriods;
}

void ConfigSpreader::UpdateDuty(core::TimePoint now) {
  if (node_.instances().empty()) {
    return;
  }
  std::vector<core::InstanceId> members{node_.self()};
  for (const auto& [id, peer] : peers_) {
    if (peer.instance_.domain_ == settings_.domain_) {
      members.push_back(id);
    }
  }
  const auto scale = std::max<std::size_t>(1, members.size() / kPeriodMembers);
  period_ = kExchangePeriod * static_cast<int>(scale);
  const auto order = membership::HighestRanked(
      settings_.domain_.value() + "/watch", members, members.size());
  ahead_.clear();
  std::size_t alive = 0;
  for (const auto& id : order) {
    if (id == node_.self() || alive >= settings_.watchers_) {
      break;
    }
    ahead_.push_back(id);
    alive += MayWatch(peers_.at(id), now) ? 1 : 0;
  }
  reader_.SetWatching(alive < settings_.watchers_);
}

void ConfigSpreader::Exchange(core::TimePoint now) {
  UpdateDuty(now);
  for (const auto& id : ahead_) {
    SyncWith(peers_.at(id));
  }
  for (auto* peer : RandomPeers(1)) {
    SyncWith(*peer);
  }
  if (!reader_.watching() && now - last_heard_ > settings_.silence_) {
    last_heard_ = now;
    reader_.ReadOnce();
  }
  timer_.Once(period_, [this] { Exchange(loop_.Now()); });
}

std::vector<ConfigSpreader::Peer*> ConfigSpreader::RandomPeers(
    std::size_t count) {
  std::vector<Peer*> all;
  for (auto& [id, peer] : peers_) {
    all.push_back(&peer);
  }
  std::ranges::shuffle(all, random_);
  all.resize(std::min(all.size(), count));
  return all;
}

void ConfigSpreader::Push(const std::vector<std::string>& keys) {
  for (auto* peer : RandomPeers(kPushFanout)) {
    PushDocuments(peer->connection_, node_, keys, Hears(*peer));
  }
}

void ConfigSpreader::SyncWith(Peer& peer) {
  ExchangeDocuments(peer.connection_, node_, Hears(peer));
}

std::function<void(const SyncMessage&)> ConfigSpreader::Hears(
    const Peer& peer) {
  return [this, id = peer.instance_.id_](const SyncMessage& answer) {
    OnPeerHeard(id, answer.reaches_service_, loop_.Now());
  };
}

}  // namespace chalkwell::daemon
