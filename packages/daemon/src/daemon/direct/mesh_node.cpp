// Rumours of members, and pushes of reports.
#include "daemon/direct/mesh_node.hpp"

#include <random>
#include <utility>

#include "daemon/messages.hpp"

namespace chalkwell::daemon::direct {
namespace {

/// Members told at each interval, and rows told to each: at 1 s and some 60
/// bytes a row this is about 1 KB a second for each process.
constexpr std::size_t kTargets = 2;
constexpr std::size_t kRows = 12;
/// Seeds are greeted this often at the start, whether or not they answer.
constexpr unsigned kGreetings = 5;
constexpr auto kGreetingInterval = std::chrono::milliseconds(150);

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
      timer_(loop) {}

void MeshNode::Start() {
  socket_ = std::make_unique<UdpSocket>(
      loop_, settings_.listen_,
      [this](std::string_view bytes) { OnDatagram(bytes); });
  Greet();
}

void MeshNode::SetSeeds(std::vector<Address> seeds) {
  settings_.seeds_ = std::move(seeds);
}

void MeshNode::Greet() {
  table_.Beat();
  auto message = Envelope();
  message.asks_ = true;
  for (const auto& seed : settings_.seeds_) {
    Send(Address{seed.ip_, settings_.listen_.port_}.ToString(), message);
  }
  Tick();
}

void MeshNode::Tick() {
  table_.Beat();
  for (const auto& lost : table_.Expire(loop_.Now())) {
    log_.Write(core::EventNumber::kMemberLost,
               {{"member", lost.id_.value()}, {"address", lost.address_}});
    if (hooks_.on_lost_) {
      hooks_.on_lost_(lost);
    }
  }
  for (const auto& silent : table_.Silent(loop_.Now())) {
    auto message = Envelope();
    message.asks_ = true;
    Send(silent.address_, message);
  }
  for (const auto& target : table_.Targets(kTargets)) {
    auto message = Envelope();
    for (const auto& row : table_.Sample(kRows)) {
      message.rows_.push_back(ToMessage(row));
    }
    Send(target.address_, message);
  }
  metrics_.Set("members", {}, static_cast<double>(table_.Live().size()));
  const bool greets = ++greetings_ < kGreetings || table_.Live().empty();
  timer_.Once(greets ? core::Duration(kGreetingInterval) : settings_.interval_,
              [this, greets] { greets ? Greet() : Tick(); });
}

std::vector<membership::Member> MeshNode::Neighbours() const {
  auto members = table_.Live();
  std::erase_if(members, [this](const membership::Member& member) {
    return member.kind_ != membership::MemberKind::kEntry ||
           member.domain_ != self().domain_ || member.leaving_;
  });
  return members;
}

void MeshNode::Leave() {
  table_.Leave();
  table_.Beat();
  const auto message = Envelope();
  for (const auto& member : table_.Live()) {
    Send(member.address_, message);
  }
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

void MeshNode::Send(const std::string& address, const MeshMessage& message) {
  if (socket_ != nullptr &&
      !socket_->Send(ParseAddress(address), Pack(message))) {
    metrics_.Count("datagrams_not_sent_total", {});
  }
}

void MeshNode::OnDatagram(std::string_view bytes) {
  const auto message = Unpack<MeshMessage>(std::string(bytes), "datagram");
  const auto now = loop_.Now();
  const auto sender = ToMember(message.sender_);
  const auto merge = [&](const membership::Member& member) {
    const auto end = table_.Merge(member, now);
    if (end == membership::MergeEnd::kJoined) {
      log_.Write(
          core::EventNumber::kMemberJoined,
          {{"member", member.id_.value()}, {"address", member.address_}});
    }
    return end;
  };
  // An agent reports to the entries that it knows: one that hears of it makes
  // itself known. By rumours alone an entry that started with all others had no
  // report of 8 of 20 engines after 1.5 s.
  const auto introduce = [&](const membership::Member& member) {
    const bool to_agent = member.kind_ == membership::MemberKind::kAgent &&
                          table_.self().kind_ == membership::MemberKind::kEntry;
    if (to_agent) {
      Send(member.address_, Envelope());
    }
  };
  const bool named = !message.sender_.id_.empty();
  if (named) {
    auto& path = paths_[{sender.address_, sender.incarnation_}];
    const std::chrono::milliseconds sent(message.sent_ms_);
    inbound_.OnMessage(path.OnMessage(sent, now), now);
  }
  const bool joined = named && merge(sender) == membership::MergeEnd::kJoined;
  if (joined || (named && message.asks_)) {
    // Newcomers ask their seeds some times: each time these know more.
    table_.Beat();
    auto answer = Envelope();
    for (const auto& row : table_.Sample(2 * kRows)) {
      answer.rows_.push_back(ToMessage(row));
    }
    Send(sender.address_, answer);
  }
  for (const auto& row : message.rows_) {
    const auto member = ToMember(row);
    if (merge(member) == membership::MergeEnd::kJoined) {
      introduce(member);
    }
  }
  for (const auto& load : message.loads_) {
    if (hooks_.on_load_) {
      hooks_.on_load_(load);
    }
  }
  for (const auto& held : message.held_) {
    if (hooks_.on_held_) {
      hooks_.on_held_(sender, held);
    }
  }
  const auto& departed = message.departed_;
  if (hooks_.on_departed_ &&
      !(departed.leaving_.empty() && departed.gone_.empty())) {
    hooks_.on_departed_(departed);
  }
  if (hooks_.on_list_ && message.list_.to_ > 0) {
    hooks_.on_list_(message.list_);
  }
  if (hooks_.on_rules_ && named) {
    hooks_.on_rules_(sender, message.rules_version_, message.watches_rules_);
  }
  for (const auto& [model, version] : message.weights_) {
    if (hooks_.on_weights_) {
      hooks_.on_weights_(model, version);
    }
  }
}

void MeshNode::PushLoad(const LoadMessage& load) {
  // The most frequent datagram of all: it carries nothing else.
  MeshMessage message;
  message.loads_.push_back(load);
  SendToEntries(message);
}

void MeshNode::PushDeparted(const DepartedMessage& departed) {
  MeshMessage message;
  message.departed_ = departed;
  SendToEntries(message);
}

void MeshNode::PushList(const membership::Member& neighbour,
                        const ListMessage& list) {
  MeshMessage message;
  message.list_ = list;
  Send(neighbour.address_, message);
}

void MeshNode::PushRules(const std::vector<membership::Member>& members) {
  const auto message = Envelope();
  for (const auto& member : members) {
    Send(member.address_, message);
  }
}

void MeshNode::SendToEntries(const MeshMessage& message) {
  for (const auto& member : table_.Live()) {
    if (member.kind_ == membership::MemberKind::kEntry) {
      Send(member.address_, message);
    }
  }
}

void MeshNode::PushHeld(const HeldMessage& held) {
  auto message = Envelope();
  message.held_.push_back(held);
  for (const auto& member : table_.Live()) {
    if (member.kind_ == membership::MemberKind::kAgent &&
        member.service_ == table_.self().service_) {
      Send(member.address_, message);
    }
  }
}

void MeshNode::PushWeights() {
  const auto message = Envelope();
  for (const auto& member : table_.Live()) {
    Send(member.address_, message);
  }
}

}  // namespace chalkwell::daemon::direct
