// Keeps streams open to a subset of the agents, selected by rendezvous hashing.
#include "daemon/agent_links.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "chalkwell/membership/role_assignment.hpp"
#include "daemon/config_dissemination.hpp"

namespace chalkwell::daemon {
namespace {

constexpr auto kInitialRetryDelay = std::chrono::milliseconds(100);
constexpr unsigned kMaxRetryDoublings = 4;
/// Share of its agents to which an entry pushes a change at once.
constexpr double kPushShare = 0.5;
constexpr auto kSyncDelay = std::chrono::seconds(1);
/// Three heartbeat intervals of an agent. A connection that falls silent is
/// closed long before.
constexpr auto kReportLease = std::chrono::seconds(30);

}  // namespace

AgentLinks::AgentLinks(Loop& loop, AgentLinkSettings settings,
                       ConfigReplica& node, EventLog& log)
    : loop_(loop),
      settings_(std::move(settings)),
      node_(node),
      log_(log),
      roster_(membership::ListedEndpointsSettings{
          .lease_ = kReportLease,
          .breaker_failures_ = 5,
          .breaker_time_ = std::chrono::seconds(2)}) {
  node_.OnChange([this](const std::vector<std::string>& keys) {
    if (std::ranges::any_of(keys, config::IsInstancesKey)) {
      UpdateLinks();
    }
    PushConfig(keys);
  });
}

std::shared_ptr<PeerConnection> AgentLinks::Connection(
    const core::InstanceId& id) const {
  const auto link = links_.find(id);
  return link == links_.end() ? nullptr : link->second.connection_;
}

std::optional<routing::ExecutionTicket> AgentLinks::IssueTicket(
    const core::InstanceId& id) {
  const auto link = links_.find(id);
  if (link == links_.end() || !link->second.issuer_) {
    return std::nullopt;
  }
  return link->second.issuer_->Issue();
}

void AgentLinks::OnChange(std::function<void()> observer) {
  observer_ = std::move(observer);
}

std::vector<config::Instance> AgentLinks::SelectInstances() const {
  using Group = std::pair<core::Role, bool>;
  std::map<Group, std::vector<core::InstanceId>> groups;
  for (const auto& instance : node_.instances()) {
    if (instance.kind_ == config::InstanceKind::kEndpoint) {
      const bool local = instance.domain_ == settings_.domain_;
      groups[{instance.role_, local}].push_back(instance.id_);
    }
  }
  std::set<core::InstanceId> selected_ids;
  for (const auto& [group, ids] : groups) {
    const auto limit = group.second ? settings_.local_links_per_role_
                                    : settings_.remote_links_per_role_;
    for (auto& id :
         membership::HighestRanked(node_.self().value(), ids, limit)) {
      selected_ids.insert(std::move(id));
    }
  }
  std::vector<config::Instance> selected;
  std::ranges::copy_if(node_.instances(), std::back_inserter(selected),
                       [&](const config::Instance& instance) {
                         return selected_ids.contains(instance.id_);
                       });
  return selected;
}

void AgentLinks::UpdateLinks() {
  const auto selected = SelectInstances();
  roster_.SetInstances(selected);
  std::map<core::InstanceId, Link> next;
  std::vector<core::InstanceId> added_ids;
  for (const auto& instance : selected) {
    auto existing = links_.extract(instance.id_);
    auto& link = next[instance.id_];
    if (!existing.empty() &&
        existing.mapped().instance_.peer_address_ == instance.peer_address_) {
      link = std::move(existing.mapped());
    } else {
      link.connection_ = std::make_shared<PeerConnection>(
          loop_, ParseAddress(instance.peer_address_), settings_.connection_);
      link.connection_->OnPing([this, id = instance.id_](bool unanswered) {
        if (unanswered) {
          roster_.OnProbed(id, loop_.Now());
        } else {
          roster_.OnReceived(id);
        }
      });
      link.retry_timer_ = std::make_shared<Timer>(loop_);
      link.sync_timer_ = std::make_shared<Timer>(loop_);
      added_ids.push_back(instance.id_);
    }
    link.instance_ = instance;
  }
  for (auto& [id, link] : links_) {
    if (link.call_) {
      link.call_->Cancel();
    }
  }
  links_ = std::move(next);
  for (const auto& id : added_ids) {
    Attach(id);
  }
}

void AgentLinks::Attach(const core::InstanceId& id) {
  const auto found = links_.find(id);
  if (found == links_.end()) {
    return;
  }
  auto& link = found->second;
  link.reader_ = std::make_unique<FrameReader>();
  PeerCallbacks callbacks;
  callbacks.on_data_ = [this, id](std::string_view bytes) {
    const auto entry = links_.find(id);
    if (entry == links_.end()) {
      return;
    }
    for (const auto& frame :
         entry->second.reader_->Read<AgentFrame>(bytes, id.value())) {
      OnFrame(id, frame);
    }
  };
  callbacks.on_end_ = [this, id](PeerEnd) { OnLost(id); };
  const AttachMessage message{.sender_ = node_.self().value()};
  link.call_ = link.connection_->Call(std::string(kAttachPath), Pack(message),
                                      std::move(callbacks));
}

void AgentLinks::OnFrame(const core::InstanceId& id, const AgentFrame& frame) {
  auto& link = links_.at(id);
  const auto now = loop_.Now();
  if (frame.minter_ != 0) {
    link.issuer_.emplace(id, frame.incarnation_, frame.minter_);
    link.consecutive_failures_ = 0;
    roster_.OnConnected(id, now);
    log_.Write(core::EventNumber::kPeerConnected, {{"peer", id.value()}});
  }
  const bool accepted = roster_.OnReport(
      id,
      {.incarnation_ = frame.incarnation_,
       .ready_ = frame.ready_,
       .leaving_ = frame.leaving_,
       .manifest_ =
           core::Digest::FromHex(frame.manifest_).value_or(core::Digest{}),
       .bundle_version_ = frame.bundle_version_,
       .load_ = frame.load_,
       .capacity_ = std::max<std::uint64_t>(1, frame.capacity_),
       .active_entries_ = std::max<std::uint64_t>(1, frame.sharers_)},
      now);
  if (!accepted) {
    return;
  }
  link.config_fingerprint_ = frame.config_;
  if (frame.minter_ != 0 && frame.config_ != node_.fingerprint()) {
    ExchangeDocuments(link.connection_, node_, nullptr);
  }
  ScheduleSync(id);
  if (observer_) {
    observer_();
  }
}

void AgentLinks::OnLost(const core::InstanceId& id) {
  const auto found = links_.find(id);
  if (found == links_.end()) {
    return;
  }
  auto& link = found->second;
  if (link.issuer_) {
    log_.Write(core::EventNumber::kPeerLost, {{"peer", id.value()}});
  }
  link.issuer_.reset();
  link.sync_timer_->Cancel();
  link.sync_scheduled_ = false;
  roster_.OnDisconnected(id);
  const auto delay =
      kInitialRetryDelay *
      (1U << std::min(link.consecutive_failures_, kMaxRetryDoublings));
  ++link.consecutive_failures_;
  link.retry_timer_->Once(delay, [this, id] { Attach(id); });
}

void AgentLinks::PushConfig(const std::vector<std::string>& keys) {
  for (auto& [id, link] : links_) {
    if (!link.issuer_) {
      continue;
    }
    if (std::bernoulli_distribution(kPushShare)(random_)) {
      PushDocuments(link.connection_, node_, keys, nullptr);
    }
    ScheduleSync(id);
  }
}

void AgentLinks::ScheduleSync(const core::InstanceId& id) {
  auto& link = links_.at(id);
  if (link.sync_scheduled_ || link.config_fingerprint_ == node_.fingerprint()) {
    return;
  }
  link.sync_scheduled_ = true;
  link.sync_timer_->Once(kSyncDelay, [this, id] {
    const auto found = links_.find(id);
    if (found == links_.end()) {
      return;
    }
    found->second.sync_scheduled_ = false;
    const bool differs =
        found->second.config_fingerprint_ != node_.fingerprint();
    if (found->second.issuer_ && differs) {
      ExchangeDocuments(found->second.connection_, node_, nullptr);
      ScheduleSync(id);
    }
  });
}

}  // namespace chalkwell::daemon
