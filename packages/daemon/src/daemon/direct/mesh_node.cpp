// Rumours of members, and news for those whom the plan of spreading names.
#include "daemon/direct/mesh_node.hpp"

#include <random>
#include <utility>

#include "daemon/messages.hpp"

namespace chalkwell::daemon::direct {
namespace {

/// Members told at each interval, and rows told to each: at 1 s and some 60
/// bytes a row this is 2 KB a second for each process.
constexpr std::size_t kTargets = 2;
constexpr std::size_t kRows = 18;
/// Silent members asked at each interval at most: rows that came together fall
/// silent together, and there are three intervals before they are lost.
constexpr std::size_t kAsked = 8;
/// Rows of an answer to one who asks: a newcomer knows nobody.
constexpr std::size_t kAnswerRows = 24;
/// Records of crashes that gossip carries, and that an answer does: an entry
/// that missed their publication gets them within some intervals.
constexpr std::size_t kCrashRecords = 8;
constexpr std::size_t kAnswerCrashRecords = 24;
/// Seeds are greeted this often at the start, whether or not they answer.
constexpr unsigned kGreetings = 6;
constexpr auto kGreetingInterval = std::chrono::milliseconds(150);
/// A delegate asks a seed after so many rounds, so that parts of a deployment
/// that lost each other for longer than a lease find each other again.
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
      seed_(std::random_device{}()) {}

void MeshNode::Start() {
  socket_ = std::make_unique<UdpSocket>(
      loop_, settings_.listen_,
      [this](std::string_view bytes) { OnDatagram(bytes); });
  Greet();
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
  const auto& seed = settings_.seeds_[seed_++ % settings_.seeds_.size()];
  auto message = Envelope();
  message.requests_reply_ = true;
  Send(TrafficKind::kGossip,
       Address{seed.ip_, settings_.listen_.port_}.ToString(), self().domain_,
       message);
}

void MeshNode::Greet() {
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
    for (const auto& silent : table_.Unresponsive(kAsked, loop_.Now())) {
      auto message = Envelope();
      message.requests_reply_ = true;
      SendTo(TrafficKind::kGossip, {silent}, message);
    }
    for (const auto& target : table_.GossipTargets(kTargets)) {
      auto message = GossipEnvelope(kCrashRecords);
      for (const auto& row : table_.Sample(kRows, target.domain_)) {
        message.rows_.push_back(ToMessage(row));
      }
      SendTo(TrafficKind::kGossip, {target}, message);
    }
    if (++rounds_ % kSeedRounds == 0 && table_.IsDelegate()) {
      QuerySeed();
    }
  }
  metrics_.Set("members", {}, static_cast<double>(table_.Live().size()));
  traffic_.Tell(loop_.Now());
  const bool greets =
      (IsEntry() && ++greetings_ < kGreetings) || table_.Live().empty();
  timer_.Once(greets ? core::Duration(kGreetingInterval) : settings_.interval_,
              [this, greets] { greets ? Greet() : Tick(); });
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
  SendTo(TrafficKind::kGossip, table_.Live(), Envelope());
}

MeshMessage MeshNode::Envelope() const {
  MeshMessage message;
  message.sender_ = ToMessage(table_.self());
  message.sent_ms_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          loop_.Now().time_since_epoch())
          .count());
  if (hooks_.weights_) {
    message.weights_ = hooks_.weights_();
  }
  if (hooks_.rules_version_) {
    message.rules_version_ = hooks_.rules_version_();
  }
  if (hooks_.watches_rules_) {
    message.watches_rules_ = hooks_.watches_rules_();
  }
  return message;
}

MeshMessage MeshNode::GossipEnvelope(std::size_t crash_records) const {
  auto message = Envelope();
  if (hooks_.crashes_) {
    message.crashes_ = hooks_.crashes_(crash_records);
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
  // Whatever else comes is not of this system.
  metrics_.Count("datagrams_unknown_total", {});
}

membership::MergeOutcome MeshNode::Merge(const membership::Member& member) {
  const auto end = table_.Merge(member, loop_.Now());
  if (end == membership::MergeOutcome::kJoined) {
    LogMember(core::EventNumber::kMemberJoined, member);
  }
  return end;
}

void MeshNode::LogMember(core::EventNumber event,
                         const membership::Member& member) {
  // An agent knows the entries that use its engine, and these change all the
  // time: it wrote 7,200 losses on a day on which nobody was lost.
  if (IsEntry()) {
    log_.Write(event,
               {{"member", member.id_.value()}, {"address", member.address_}});
  }
}

void MeshNode::Answer(const membership::Member& asker) {
  table_.RaiseHeartbeat();
  const bool to_entry = asker.kind_ == membership::MemberKind::kEntry;
  auto answer = to_entry ? GossipEnvelope(kAnswerCrashRecords) : Envelope();
  if (IsEntry()) {
    for (const auto& row : table_.Sample(kAnswerRows, asker.domain_)) {
      answer.rows_.push_back(ToMessage(row));
    }
  }
  SendTo(TrafficKind::kReply, {asker}, answer);
}

void MeshNode::OnMessage(const MeshMessage& message) {
  const auto now = loop_.Now();
  const auto sender = ToMember(message.sender_);
  auto& path = paths_[{sender.address_, sender.incarnation_}];
  const std::chrono::milliseconds sent(message.sent_ms_);
  const auto delay = path.OnMessage(sent, now);
  inbound_.OnMessage(delay, now);
  TakeMembers(message, sender);
  if (message.subscribes_ && hooks_.on_subscribe_) {
    hooks_.on_subscribe_(sender);
  }
  for (const auto& held : message.held_chunks_) {
    if (hooks_.on_held_chunks_) {
      hooks_.on_held_chunks_(sender, held);
    }
  }
  TakeNews(message, sender, delay);
  PassOn(message, sender, delay);
}

void MeshNode::TakeMembers(const MeshMessage& message,
                           const membership::Member& sender) {
  const bool agent = sender.kind_ == membership::MemberKind::kAgent;
  if (agent) {
    if (message.requests_reply_ && IsEntry()) {
      Answer(sender);
      if (hooks_.on_agent_started_) {
        hooks_.on_agent_started_(sender.address_);
      }
    }
    return;
  }
  // Newcomers ask some times: each time the one asked knows more.
  const bool joined = Merge(sender) == membership::MergeOutcome::kJoined;
  if (IsEntry() && (joined || message.requests_reply_)) {
    Answer(sender);
  }
  for (const auto& row : message.rows_) {
    const auto member = ToMember(row);
    const bool near = member.domain_ == self().domain_;
    if (Merge(member) == membership::MergeOutcome::kJoined && IsEntry() &&
        near) {
      // It may not know this process yet: by rumour alone members that started
      // together knew each other only after several rounds.
      SendTo(TrafficKind::kGossip, {member}, Envelope());
    }
  }
}

void MeshNode::TakeNews(const MeshMessage& message,
                        const membership::Member& sender,
                        core::Duration delay) {
  const auto& departed = message.departed_;
  if (hooks_.on_departed_ &&
      !(departed.leaving_.empty() && departed.removed_.empty())) {
    hooks_.on_departed_(departed);
  }
  const bool lists = message.list_.to_ > 0 || message.list_.read_failed_;
  if (hooks_.on_list_ && lists) {
    hooks_.on_list_(sender, message.list_, loop_.Now() - delay);
  }
  if (hooks_.on_crashes_ && !message.crashes_.empty()) {
    hooks_.on_crashes_(sender, message.crashes_, loop_.Now() - delay);
  }
  if (hooks_.on_rules_) {
    hooks_.on_rules_(sender, message.rules_version_, message.watches_rules_);
  }
  for (const auto& [model, version] : message.weights_) {
    if (hooks_.on_weights_) {
      hooks_.on_weights_(model, version);
    }
  }
}

void MeshNode::PassOn(const MeshMessage& message,
                      const membership::Member& sender, core::Duration delay) {
  const auto& departed = message.departed_;
  const bool departs =
      !(departed.leaving_.empty() && departed.removed_.empty());
  const bool lists = message.list_.to_ > 0;
  if (!IsEntry() || sender.domain_ == self().domain_ || !(departs || lists)) {
    return;
  }
  auto onward = Envelope();
  onward.departed_ = departed;
  onward.list_ = message.list_;
  onward.list_.age_ms_ = ToAgeMs(ToAge(message.list_.age_ms_) + delay);
  const auto targets = Plan().ForwardTargets(sender.domain_);
  if (!targets.empty()) {
    told_domain_at_ = loop_.Now();
    SendTo(lists ? TrafficKind::kList : TrafficKind::kDeparted, targets,
           onward);
  }
}

void MeshNode::Subscribe(const std::string& agent,
                         const core::FailureDomainId& domain) {
  auto message = Envelope();
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
  auto message = Envelope();
  message.departed_ = departed;
  SendTo(TrafficKind::kDeparted,
         Plan().AnnounceTargets(membership::DelegateFanout::kTwoDelegates),
         message);
}

void MeshNode::PublishList(const EndpointListMessage& list) {
  auto message = Envelope();
  message.list_ = list;
  told_domain_at_ = loop_.Now();
  SendTo(TrafficKind::kList,
         Plan().AnnounceTargets(membership::DelegateFanout::kOneDelegate),
         message);
}

void MeshNode::PublishCrashes(const std::vector<CrashRecordMessage>& records) {
  auto message = Envelope();
  message.crashes_ = records;
  SendTo(TrafficKind::kCrashes,
         Plan().AnnounceTargets(membership::DelegateFanout::kTwoDelegates),
         message);
}

void MeshNode::ForwardCrashes(const core::FailureDomainId& from,
                              const std::vector<CrashRecordMessage>& records) {
  auto message = Envelope();
  message.crashes_ = records;
  SendTo(TrafficKind::kCrashes, Plan().ForwardTargets(from), message);
}

void MeshNode::PublishReadFailure() {
  auto message = Envelope();
  message.list_.read_failed_ = true;
  told_domain_at_ = loop_.Now();
  SendTo(TrafficKind::kList, LocalEntries(), message);
}

void MeshNode::AnnounceVersions(
    const std::vector<membership::Member>& members) {
  SendTo(TrafficKind::kNotification, members, Envelope());
}

void MeshNode::AnnounceVersions() {
  told_domain_at_ = loop_.Now();
  AnnounceVersions(
      Plan().AnnounceTargets(membership::DelegateFanout::kTwoDelegates));
}

void MeshNode::SendHeldChunks(const std::string& agent,
                              const core::FailureDomainId& domain,
                              const HeldChunksMessage& held) {
  auto message = Envelope();
  message.held_chunks_.push_back(held);
  Send(TrafficKind::kHeldChunks, agent, domain, message);
}

}  // namespace chalkwell::daemon::direct
