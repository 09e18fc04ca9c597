// How entries and agents discover each other by datagrams.
#include "daemon/direct/mesh_node.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "daemon/messages.hpp"
#include "daemon/udp_socket.hpp"

namespace chalkwell::daemon::direct {
namespace {

using namespace std::chrono_literals;

/// Ends a test whose wait has no result; no requirement on the node.
constexpr auto kTestTimeout = 10s;

membership::Member Member(const std::string& id, membership::MemberKind kind,
                          const std::string& address) {
  membership::Member member;
  member.id_ = core::InstanceId(id);
  member.kind_ = kind;
  member.domain_ = core::FailureDomainId("d");
  member.address_ = address;
  return member;
}

TEST_CASE("an entry introduces itself to a local entry that it learns of",
          "[daemon]") {
  // By gossip alone, members that started together knew each other only after
  // several rounds. A node keeps only a few members of other failure domains,
  // and these need not know every entry.
  struct Row {
    std::string name_;
    std::string domain_;
    bool introduced_;
  };
  const auto row = GENERATE(Row{"of the own failure domain", "d", true},
                            Row{"of another failure domain", "far", false});
  CAPTURE(row.name_);
  Loop loop;
  EventLog log(LogFormat::kJson, core::Severity::kError, "test");
  Metrics metrics;
  bool introduced = false;
  UdpSocket other_socket(loop, {"127.0.0.1", 0}, [&](std::string_view bytes) {
    const auto message =
        Unpack<MeshMessage>(std::string(bytes.substr(1)), "test");
    // Gossip messages carry rows and may arrive too; an introduction has none.
    introduced = introduced || message.rows_.empty();
    loop.Stop();
  });
  const auto address = "127.0.0.1:" + std::to_string(other_socket.port());
  const UdpSocket reserved(loop, {"127.0.0.2", 0}, [](std::string_view) {});
  MeshSettings settings;
  settings.listen_ = {"127.0.0.3", reserved.port()};
  settings.interval_ = 1h;
  MeshNode node(loop,
                Member("self", membership::MemberKind::kEntry, "127.0.0.3:1"),
                settings, log, metrics, {});
  node.Start();
  // Sends after the node's first gossip rounds, in which it knows nobody.
  loop.After(10ms, [&] {
    MeshMessage gossip;
    gossip.sender_ = ToMessage(
        Member("sender", membership::MemberKind::kEntry, "127.0.0.4:9"));
    auto subject = Member("a", membership::MemberKind::kEntry, address);
    subject.domain_ = core::FailureDomainId(row.domain_);
    gossip.rows_.push_back(ToMessage(subject));
    other_socket.Send(settings.listen_,
                      static_cast<char>(DatagramKind::kMesh) + Pack(gossip));
  });
  loop.After(kTestTimeout, [&] { loop.Stop(); });
  loop.Run();
  CHECK(introduced == row.introduced_);
}

TEST_CASE("an agent's query is answered with entries and reported to the hook",
          "[daemon]") {
  Loop loop;
  EventLog log(LogFormat::kJson, core::Severity::kError, "test");
  Metrics metrics;
  std::optional<MeshMessage> reply;
  std::string queried_by;
  UdpSocket agent_socket(loop, {"127.0.0.1", 0}, [&](std::string_view bytes) {
    reply = Unpack<MeshMessage>(std::string(bytes.substr(1)), "test");
    loop.Stop();
  });
  const auto address = "127.0.0.1:" + std::to_string(agent_socket.port());
  const UdpSocket reserved(loop, {"127.0.0.2", 0}, [](std::string_view) {});
  MeshSettings settings;
  settings.listen_ = {"127.0.0.3", reserved.port()};
  settings.interval_ = 1h;
  MeshHooks hooks;
  hooks.on_agent_query_ = [&](const std::string& from) { queried_by = from; };
  hooks.weights_ = [] {
    return std::map<std::string, std::uint64_t>{{"m", 7}};
  };
  MeshNode node(loop,
                Member("self", membership::MemberKind::kEntry, "127.0.0.3:1"),
                settings, log, metrics, hooks);
  node.Start();
  loop.After(10ms, [&] {
    MeshMessage query;
    query.sender_ =
        ToMessage(Member("agent", membership::MemberKind::kAgent, address));
    query.requests_reply_ = true;
    agent_socket.Send(settings.listen_,
                      static_cast<char>(DatagramKind::kMesh) + Pack(query));
  });
  loop.After(kTestTimeout, [&] { loop.Stop(); });
  loop.Run();
  REQUIRE(reply.has_value());
  CHECK(queried_by == address);
  CHECK(reply->weights_.at("m") == 7);
  CHECK(reply->rows_.front().id_ == "self");
  // An agent that queries does not become a member.
  CHECK(node.LiveMembers().empty());
}

}  // namespace
}  // namespace chalkwell::daemon::direct
