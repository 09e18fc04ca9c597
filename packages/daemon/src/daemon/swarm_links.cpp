// Announces changes only; changes within a short interval are combined.
#include "daemon/swarm_links.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chalkwell::daemon {
namespace {

constexpr auto kAnnouncementDelay = std::chrono::milliseconds(20);
constexpr auto kResubscribeDelay = std::chrono::milliseconds(250);

}  // namespace

SwarmLinks::SwarmLinks(Loop& loop, ConfigReplica& node,
                       PeerConnectionSettings settings, SwarmObserver observer)
    : loop_(loop),
      node_(node),
      settings_(std::move(settings)),
      observer_(std::move(observer)),
      announcement_timer_(loop) {}

std::shared_ptr<PeerConnection> SwarmLinks::Connection(
    const core::InstanceId& id) const {
  const auto found = neighbours_.find(id);
  return found == neighbours_.end() ? nullptr : found->second.connection_;
}

void SwarmLinks::Subscribe(const std::string& manifest,
                           const std::vector<config::Instance>& neighbours) {
  const bool same_manifest = manifest == manifest_;
  manifest_ = manifest;
  std::map<core::InstanceId, Neighbour> next;
  std::vector<core::InstanceId> added_ids;
  for (const auto& instance : neighbours) {
    auto existing = neighbours_.extract(instance.id_);
    auto& neighbour = next[instance.id_];
    const bool retained =
        !existing.empty() &&
        existing.mapped().instance_.peer_address_ == instance.peer_address_;
    if (retained) {
      neighbour = std::move(existing.mapped());
    } else {
      neighbour.connection_ = std::make_shared<PeerConnection>(
          loop_, ParseAddress(instance.peer_address_), settings_);
      neighbour.retry_timer_ = std::make_shared<Timer>(loop_);
    }
    neighbour.instance_ = instance;
    if (!retained || !same_manifest) {
      added_ids.push_back(instance.id_);
    }
  }
  std::swap(neighbours_, next);
  for (auto& [id, neighbour] : next) {
    if (neighbour.call_) {
      neighbour.call_->Cancel();
    }
    observer_.on_neighbour_lost_(id);
  }
  for (const auto& id : added_ids) {
    SubscribeTo(id);
  }
}

void SwarmLinks::Unsubscribe() { Subscribe("", {}); }

void SwarmLinks::SubscribeTo(const core::InstanceId& id) {
  const auto found = neighbours_.find(id);
  if (found == neighbours_.end() || manifest_.empty()) {
    return;
  }
  auto& neighbour = found->second;
  if (neighbour.call_) {
    neighbour.call_->Cancel();
  }
  neighbour.reader_ = std::make_unique<FrameReader>();
  neighbour.held_.clear();
  PeerCallbacks callbacks;
  callbacks.on_data_ = [this, id](std::string_view bytes) {
    const auto entry = neighbours_.find(id);
    if (entry == neighbours_.end()) {
      return;
    }
    for (const auto& frame :
         entry->second.reader_->Read<HaveFrame>(bytes, id.value())) {
      OnFrame(id, frame);
    }
  };
  callbacks.on_end_ = [this, id](PeerEnd) {
    const auto entry = neighbours_.find(id);
    if (entry != neighbours_.end()) {
      entry->second.held_.clear();
      observer_.on_neighbour_lost_(id);
      entry->second.retry_timer_->Once(kResubscribeDelay,
                                       [this, id] { SubscribeTo(id); });
    }
  };
  const HaveMessage message{.sender_ = node_.self().value(),
                            .manifest_ = manifest_};
  neighbour.call_ = neighbour.connection_->Call(
      std::string(kHavePath), Pack(message), std::move(callbacks));
}

void SwarmLinks::OnFrame(const core::InstanceId& id, const HaveFrame& frame) {
  const auto found = neighbours_.find(id);
  if (found == neighbours_.end()) {
    return;
  }
  auto& held = found->second.held_;
  held.insert(frame.added_.begin(), frame.added_.end());
  for (const auto index : frame.removed_) {
    held.erase(index);
  }
  if (!frame.added_.empty() || !frame.removed_.empty()) {
    observer_.on_chunks_changed_(id, held);
  }
  for (const auto& [member, version] : frame.members_) {
    SetServedVersion(core::InstanceId(member), version);
  }
}

void SwarmLinks::HandleHave(const PeerCallPtr& call) {
  const auto message = Unpack<HaveMessage>(call->body(), "have");
  auto subscriber = std::make_shared<Subscriber>();
  subscriber->call_ = call;
  subscriber->manifest_ = message.manifest_;
  subscribers_.push_back(subscriber);
  call->OnClosed([this, closed = subscriber.get()] {
    std::erase_if(subscribers_, [closed](const auto& other) {
      return other.get() == closed;
    });
  });
  call->Start(200);
  AnnounceTo(*subscriber);
}

void SwarmLinks::SetHeldChunks(const std::string& manifest,
                               std::set<std::uint32_t> held) {
  held_manifest_ = manifest;
  held_ = std::move(held);
  Announce();
}

void SwarmLinks::SetServedVersion(const core::InstanceId& member,
                                  std::uint64_t version) {
  auto& known_version = versions_[member.value()];
  if (version <= known_version) {
    return;
  }
  known_version = version;
  observer_.on_version_served_(member, version);
  Announce();
}

void SwarmLinks::Announce() {
  if (announcement_pending_) {
    return;
  }
  announcement_pending_ = true;
  announcement_timer_.Once(kAnnouncementDelay, [this] {
    announcement_pending_ = false;
    const auto subscribers = subscribers_;
    for (const auto& subscriber : subscribers) {
      AnnounceTo(*subscriber);
    }
  });
}

void SwarmLinks::AnnounceTo(Subscriber& subscriber) {
  static const std::set<std::uint32_t> kNoChunks;
  const auto& held = subscriber.manifest_ == held_manifest_ ? held_ : kNoChunks;
  HaveFrame frame;
  std::ranges::set_difference(held, subscriber.announced_chunks_,
                              std::back_inserter(frame.added_));
  std::ranges::set_difference(subscriber.announced_chunks_, held,
                              std::back_inserter(frame.removed_));
  for (const auto& [member, version] : versions_) {
    if (subscriber.announced_versions_[member] < version) {
      subscriber.announced_versions_[member] = version;
      frame.members_[member] = version;
    }
  }
  if (frame.added_.empty() && frame.removed_.empty() &&
      frame.members_.empty()) {
    return;
  }
  subscriber.announced_chunks_ = held;
  subscriber.call_->Write(Pack(frame));
}

}  // namespace chalkwell::daemon
