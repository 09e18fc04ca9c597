// Gossip of members, and announcements along the propagation plan.
#include "daemon/direct/mesh_node.hpp"

#include <random>
#include <utility>

#include "daemon/messages.hpp"

namespace chalkwell::daemon::direct {
namespace {

/// Gossip targets of each round, and member rows sent to each of them. With an
/// interval of 1 s and some 60 bytes a row, a process sends 2 KB a second.
constexpr std::size_t kGossipTargets = 2;
constexpr std::size_t kGossipRows = 18;
/// Unresponsive members probed in each round at most. Rows that were received
/// together become unresponsive together, and three rounds remain before their
/// leases expire.
constexpr std::size_t kMaxProbes = 8;
/// Member rows of a reply: more than gossip carries, since a new member knows
/// no others.
constexpr std::size_t kReplyRows = 24;
/// Crash records, and rate limits, that a gossip message and a reply carry. An
/// entry that missed their publication receives them within a few rounds.
constexpr std::size_t kGossipRecords = 8;
constexpr std::size_t kReplyRecords = 24;
/// Rounds at the start that query a seed, whether or not the seeds reply.
constexpr unsigned kStartupRounds = 6;
constexpr auto kStartupInterval = std::chrono::milliseconds(150);
/// Rounds after which a delegate queries a seed, so that parts of a deployment
/// that were partitioned for longer than a lease rediscover each other.
constexpr unsigned kSeedRounds = 5;

membership::Member WithIncarnation(membership::Member member) {
  member.incarnation_ = std::random_device{}();
  return member;
}

}  // namespace

MeshNode::MeshNode(Loop& loop, membership::Member self, MeshSettings settings,
                   EventLog& log, Metrics& metrics, MeshHooks hooks)
    : loop_(loop),
      settings_(std::move(settings)),
      table_(WithIncarnation(std::move(self)), {}, std::random_device{}()),
      log_(log),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      traffic_(log, metrics),
      timer_(loop),
      next_seed_(std::random_device{}()) {}

void MeshNode::Start() {
  socket_ = std::make_unique<UdpSocket>(
      loop_, settings_.listen_,
      [this](std::string_view bytes) { OnDatagram(bytes); });
  StartupTick();
}

void MeshNode::SetSeeds(std::vector<Address> seeds) {
  settings_.seeds_ = std::move(seeds);
}

std::string MeshNode::MeshAddressOf(const std::string& endpoint) const {
  return Address{ParseAddress(endpoint).ip_, settings_.listen_.port_}
      .ToString();
}

void MeshNode::QuerySeed() {
  if (settings_.seeds_.empty()) {
    return;
  }
  const auto& seed = settings_.seeds_[next_seed_++ % settings_.seeds_.size()];
  auto message = MakeMessage();
  message.requests_reply_ = true;
  Send(TrafficKind::kGossip,
       Address{seed.ip_, settings_.listen_.port_}.ToString(), self().domain_,
       message);
}

void MeshNode::StartupTick() {
  table_.RaiseHeartbeat();
  QuerySeed();
  Tick();
}

void MeshNode::Tick() {
  table_.RaiseHeartbeat();
  for (const auto& lost : table_.Expire(loop_.Now())) {
    LogMember(core::EventNumber::kMemberLost, lost);
    if (hooks_.on_lost_) {
      hooks_.on_lost_(lost);
    }
  }
  if (IsEntry()) {
    for (const auto& unresponsive :
         table_.Unresponsive(kMaxProbes, loop_.Now())) {
      auto message = MakeMessage();
      message.requests_reply_ = true;
      SendTo(TrafficKind::kGossip, {unresponsive}, message);
    }
    for (const auto& target : table_.GossipTargets(kGossipTargets)) {
      auto message = MakeGossipMessage(kGossipRecords);
      for (const auto& row : table_.Sample(kGossipRows, target.domain_)) {
        message.rows_.push_back(ToMessage(row));
      }
      SendTo(TrafficKind::kGossip, {target}, message);
    }
    if (++rounds_ % kSeedRounds == 0 && table_.IsDelegate()) {
      QuerySeed();
    }
  }
  metrics_.Set("members", {}, static_cast<double>(table_.Live().size()));
  traffic_.Report(loop_.Now());
  const bool starting = (IsEntry() && ++startup_rounds_ < kStartupRounds) ||
                        table_.Live().empty();
  timer_.Once(starting ? core::Duration(kStartupInterval) : settings_.interval_,
              [this, starting] { starting ? StartupTick() : Tick(); });
}

std::vector<membership::Member> MeshNode::LocalEntries() const {
  return Plan().local_members();
}

membership::PropagationPlan MeshNode::Plan() const {
  return {table_.self(), table_.Live()};
}

void MeshNode::AnnounceLeaving() {
  table_.SetLeaving();
  table_.RaiseHeartbeat();
  SendTo(TrafficKind::kGossip, table_.Live(), MakeMessage());
}

MeshMessage MeshNode::MakeMessage() const {
  MeshMessage message;
  message.sender_ = ToMessage(table_.self());
  message.sent_ms_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          loop_.Now().time_since_epoch())
          .count());
  if (hooks_.weights_) {
    message.weights_ = hooks_.weights_();
  }
  if (hooks_.evacuations_) {
    for (const auto& evacuation : hooks_.evacuations_()) {
      message.evacuations_.push_back(ToMessage(evacuation));
    }
  }
  if (hooks_.rules_version_) {
    message.rules_version_ = hooks_.rules_version_();
  }
  if (hooks_.watches_rules_) {
    message.watches_rules_ = hooks_.watches_rules_();
  }
  return message;
}

MeshMessage MeshNode::MakeGossipMessage(std::size_t records) const {
  auto message = MakeMessage();
  if (hooks_.crashes_) {
    message.crashes_ = hooks_.crashes_(records);
  }
  if (hooks_.rate_limits_) {
    message.rate_limits_ = hooks_.rate_limits_(records);
  }
  if (hooks_.published_versions_) {
    message.published_versions_ = hooks_.published_versions_();
  }
  return message;
}

void MeshNode::Send(TrafficKind kind, const std::string& address,
                    const core::FailureDomainId& domain,
                    const MeshMessage& message) {
  membership::Member target;
  target.domain_ = domain;
  target.address_ = address;
  SendTo(kind, {target}, message);
}

void MeshNode::SendTo(TrafficKind kind,
                      const std::vector<membership::Member>& members,
                      const MeshMessage& message) {
  if (socket_ == nullptr) {
    return;
  }
  const auto bytes = static_cast<char>(DatagramKind::kMesh) + Pack(message);
  for (const auto& member : members) {
    if (!socket_->Send(ParseAddress(member.address_), bytes)) {
      metrics_.Count("datagrams_not_sent_total", {});
      continue;
    }
    traffic_.OnSent(kind, member.domain_ != self().domain_, bytes.size());
  }
}

void MeshNode::OnDatagram(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  traffic_.OnReceived(bytes.size());
  const std::string body(bytes.substr(1));
  switch (static_cast<DatagramKind>(bytes.front())) {
    case DatagramKind::kMesh:
      OnMessage(Unpack<MeshMessage>(body, "datagram"));
      return;
    case DatagramKind::kReport:
      if (hooks_.on_load_) {
        hooks_.on_load_(Unpack<LoadMessage>(body, "report"));
      }
      return;
  }
  // Datagrams of any other kind are from a foreign sender.
  metrics_.Count("datagrams_unknown_total", {});
}

membership::MergeOutcome MeshNode::Merge(const membership::Member& member) {
  const auto outcome = table_.Merge(member, loop_.Now());
  if (outcome == membership::MergeOutcome::kJoined) {
    LogMember(core::EventNumber::kMemberJoined, member);
  }
  return outcome;
}

void MeshNode::LogMember(core::EventNumber event,
                         const membership::Member& member) {
  // Agents do not log members: the entries that use an engine change all the
  // time, and an agent logged 7,200 losses on a day when no entry had ended.
  if (IsEntry()) {
    log_.Write(event,
               {{"member", member.id_.value()}, {"address", member.address_}});
  }
}

void MeshNode::Reply(const membership::Member& requester) {
  table_.RaiseHeartbeat();
  const bool to_entry = requester.kind_ == membership::MemberKind::kEntry;
  auto reply = to_entry ? MakeGossipMessage(kReplyRecords) : MakeMessage();
  if (IsEntry()) {
    for (const auto& row : table_.Sample(kReplyRows, requester.domain_)) {
      reply.rows_.push_back(ToMessage(row));
    }
  }
  SendTo(TrafficKind::kReply, {requester}, reply);
}

void MeshNode::OnMessage(const MeshMessage& message) {
  const auto now = loop_.Now();
  const auto sender = ToMember(message.sender_);
  auto& path = paths_[{sender.address_, sender.incarnation_}];
  const std::chrono::milliseconds sent(message.sent_ms_);
  const auto delay = path.OnMessage(sent, now);
  inbound_.OnMessage(delay, now);
  MergeMembers(message, sender);
  if (message.subscribes_ && hooks_.on_subscribe_) {
    hooks_.on_subscribe_(sender);
  }
  for (const auto& held : message.held_chunks_) {
    if (hooks_.on_held_chunks_) {
      hooks_.on_held_chunks_(sender, held);
    }
  }
  HandleAnnouncements(message, sender, delay);
  Forward(message, sender, delay);
}

void MeshNode::MergeMembers(const MeshMessage& message,
                            const membership::Member& sender) {
  const bool agent = sender.kind_ == membership::MemberKind::kAgent;
  if (agent) {
    if (message.requests_reply_ && IsEntry()) {
      Reply(sender);
      if (hooks_.on_agent_query_) {
        hooks_.on_agent_query_(sender.address_);
      }
    }
    return;
  }
  // New members request several replies, since each may hold more members.
  const bool joined = Merge(sender) == membership::MergeOutcome::kJoined;
  if (IsEntry() && (joined || message.requests_reply_)) {
    Reply(sender);
  }
  for (const auto& row : message.rows_) {
    const auto member = ToMember(row);
    const bool local = member.domain_ == self().domain_;
    if (Merge(member) == membership::MergeOutcome::kJoined && IsEntry() &&
        local) {
      // The new member may not know this process yet. With gossip alone,
      // members that started together needed several rounds to know each other.
      SendTo(TrafficKind::kGossip, {member}, MakeMessage());
    }
  }
}

void MeshNode::HandleAnnouncements(const MeshMessage& message,
                                   const membership::Member& sender,
                                   core::Duration delay) {
  const auto& departed = message.departed_;
  if (hooks_.on_departed_ &&
      !(departed.leaving_.empty() && departed.removed_.empty())) {
    hooks_.on_departed_(sender, departed);
  }
  const bool has_list =
      message.list_.to_.number_ > 0 || message.list_.read_failed_;
  if (hooks_.on_list_ && has_list) {
    hooks_.on_list_(sender, message.list_, loop_.Now() - delay);
  }
  if (hooks_.on_crashes_ && !message.crashes_.empty()) {
    hooks_.on_crashes_(sender, message.crashes_, loop_.Now() - delay);
  }
  if (hooks_.on_rate_limits_ && !message.rate_limits_.empty()) {
    hooks_.on_rate_limits_(sender, message.rate_limits_, loop_.Now() - delay);
  }
  if (hooks_.on_evacuations_ && !message.evacuations_.empty()) {
    std::vector<config::Evacuation> evacuations;
    for (const auto& evacuation : message.evacuations_) {
      evacuations.push_back(ToEvacuation(evacuation));
    }
    hooks_.on_evacuations_(evacuations);
  }
  if (hooks_.on_rules_) {
    hooks_.on_rules_(sender, message.rules_version_, message.watches_rules_);
  }
  if (hooks_.on_published_versions_ && !message.published_versions_.empty()) {
    hooks_.on_published_versions_(message.published_versions_,
                                  loop_.Now() - delay);
  }
  for (const auto& [model, version] : message.weights_) {
    if (hooks_.on_weights_) {
      hooks_.on_weights_(model, version);
    }
  }
}

void MeshNode::Forward(const MeshMessage& message,
                       const membership::Member& sender, core::Duration delay) {
  const auto& departed = message.departed_;
  const bool has_departed =
      !(departed.leaving_.empty() && departed.removed_.empty());
  const bool has_list = message.list_.to_.number_ > 0;
  if (!IsEntry() || sender.domain_ == self().domain_ ||
      !(has_departed || has_list)) {
    return;
  }
  auto forwarded = MakeMessage();
  forwarded.departed_ = departed;
  forwarded.list_ = message.list_;
  forwarded.list_.age_ms_ = ToAgeMs(ToAge(message.list_.age_ms_) + delay);
  const auto targets = Plan().ForwardTargets(sender.domain_);
  if (!targets.empty()) {
    last_domain_announcement_ = loop_.Now();
    SendTo(has_list ? TrafficKind::kList : TrafficKind::kDeparted, targets,
           forwarded);
  }
}

void MeshNode::Subscribe(const std::string& agent,
                         const core::FailureDomainId& domain) {
  auto message = MakeMessage();
  message.subscribes_ = true;
  Send(TrafficKind::kSubscription, agent, domain, message);
}

void MeshNode::SendReport(const membership::ReportTarget& entry,
                          const LoadMessage& load) {
  const auto bytes = static_cast<char>(DatagramKind::kReport) + Pack(load);
  if (socket_ != nullptr &&
      socket_->Send(ParseAddress(entry.address_), bytes)) {
    traffic_.OnSent(TrafficKind::kReport, !entry.local_, bytes.size());
  }
}

void MeshNode::PublishDeparted(const DepartedMessage& departed) {
  auto message = MakeMessage();
  message.departed_ = departed;
  Publish(TrafficKind::kDeparted, message);
}

void MeshNode::PublishList(const EndpointListMessage& list) {
  auto message = MakeMessage();
  message.list_ = list;
  last_domain_announcement_ = loop_.Now();
  SendTo(TrafficKind::kList,
         Plan().AnnounceTargets(membership::DelegateFanout::kOneDelegate),
         message);
}

void MeshNode::Publish(TrafficKind kind, const MeshMessage& message) {
  SendTo(kind,
         Plan().AnnounceTargets(membership::DelegateFanout::kTwoDelegates),
         message);
}

void MeshNode::PublishCrashes(const std::vector<CrashRecordMessage>& records) {
  auto message = MakeMessage();
  message.crashes_ = records;
  Publish(TrafficKind::kCrashes, message);
}

void MeshNode::ForwardCrashes(const core::FailureDomainId& from,
                              const std::vector<CrashRecordMessage>& records) {
  auto message = MakeMessage();
  message.crashes_ = records;
  SendTo(TrafficKind::kCrashes, Plan().ForwardTargets(from), message);
}

void MeshNode::PublishRateLimits(const std::vector<RateLimitMessage>& limits) {
  auto message = MakeMessage();
  message.rate_limits_ = limits;
  Publish(TrafficKind::kRateLimits, message);
}

void MeshNode::ForwardRateLimits(const core::FailureDomainId& from,
                                 const std::vector<RateLimitMessage>& limits) {
  auto message = MakeMessage();
  message.rate_limits_ = limits;
  SendTo(TrafficKind::kRateLimits, Plan().ForwardTargets(from), message);
}

void MeshNode::PublishReadFailure() {
  auto message = MakeMessage();
  message.list_.read_failed_ = true;
  last_domain_announcement_ = loop_.Now();
  SendTo(TrafficKind::kList, LocalEntries(), message);
}

void MeshNode::AnnounceVersions(
    const std::vector<membership::Member>& members) {
  SendTo(TrafficKind::kVersions, members, MakeMessage());
}

void MeshNode::AnnounceVersions() {
  last_domain_announcement_ = loop_.Now();
  AnnounceVersions(
      Plan().AnnounceTargets(membership::DelegateFanout::kDelegatesAndSpare));
}

void MeshNode::SendHeldChunks(const std::string& agent,
                              const core::FailureDomainId& domain,
                              const HeldChunksMessage& held) {
  auto message = MakeMessage();
  message.held_chunks_.push_back(held);
  Send(TrafficKind::kHeldChunks, agent, domain, message);
}

}  // namespace chalkwell::daemon::direct
