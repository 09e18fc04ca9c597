// How processes come to know each other by datagrams.
#include "daemon/direct/mesh_node.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "daemon/messages.hpp"
#include "daemon/udp_socket.hpp"

namespace chalkwell::daemon::direct {
namespace {

using namespace std::chrono_literals;

/// Patience of a test, not a bound.
constexpr auto kPatience = 10s;

membership::Member Member(const std::string& id, membership::MemberKind kind,
                          const std::string& address) {
  membership::Member member;
  member.id_ = core::InstanceId(id);
  member.kind_ = kind;
  member.domain_ = core::FailureDomainId("d");
  member.address_ = address;
  return member;
}

TEST_CASE("an entry that hears of a neighbour makes itself known to it",
          "[daemon]") {
  // By rumours alone members that started together knew of each other only
  // after several rounds. Of other failure domains a few are kept, who need not
  // know each entry.
  struct Row {
    std::string name_;
    std::string domain_;
    bool introduced_;
  };
  const auto row = GENERATE(Row{"a neighbour", "d", true},
                            Row{"of another failure domain", "far", false});
  CAPTURE(row.name_);
  Loop loop;
  EventLog log(LogFormat::kJson, core::Severity::kError, "test");
  Metrics metrics;
  bool introduced = false;
  UdpSocket other(loop, {"127.0.0.1", 0}, [&](std::string_view bytes) {
    const auto message =
        Unpack<MeshMessage>(std::string(bytes.substr(1)), "test");
    // Rounds of gossip carry rows; they come sooner or later.
    introduced = introduced || message.rows_.empty();
    loop.Stop();
  });
  const auto address = "127.0.0.1:" + std::to_string(other.port());
  const UdpSocket reserved(loop, {"127.0.0.2", 0}, [](std::string_view) {});
  MeshSettings settings;
  settings.listen_ = {"127.0.0.3", reserved.port()};
  settings.interval_ = 1h;
  MeshNode node(loop,
                Member("self", membership::MemberKind::kEntry, "127.0.0.3:1"),
                settings, log, metrics, {});
  node.Start();
  // The first rounds are over when nobody is known.
  loop.After(10ms, [&] {
    MeshMessage rumour;
    rumour.sender_ = ToMessage(
        Member("teller", membership::MemberKind::kEntry, "127.0.0.4:9"));
    auto heard = Member("a", membership::MemberKind::kEntry, address);
    heard.domain_ = core::FailureDomainId(row.domain_);
    rumour.rows_.push_back(ToMessage(heard));
    other.Send(settings.listen_,
               static_cast<char>(DatagramKind::kMesh) + Pack(rumour));
  });
  loop.After(kPatience, [&] { loop.Stop(); });
  loop.Run();
  CHECK(introduced == row.introduced_);
}

TEST_CASE("an agent's greeting is answered with entries, and told of",
          "[daemon]") {
  Loop loop;
  EventLog log(LogFormat::kJson, core::Severity::kError, "test");
  Metrics metrics;
  std::optional<MeshMessage> answer;
  std::string greeted;
  UdpSocket agent(loop, {"127.0.0.1", 0}, [&](std::string_view bytes) {
    answer = Unpack<MeshMessage>(std::string(bytes.substr(1)), "test");
    loop.Stop();
  });
  const auto address = "127.0.0.1:" + std::to_string(agent.port());
  const UdpSocket reserved(loop, {"127.0.0.2", 0}, [](std::string_view) {});
  MeshSettings settings;
  settings.listen_ = {"127.0.0.3", reserved.port()};
  settings.interval_ = 1h;
  MeshHooks hooks;
  hooks.on_agent_query_ = [&](const std::string& from) { greeted = from; };
  hooks.weights_ = [] {
    return std::map<std::string, std::uint64_t>{{"m", 7}};
  };
  MeshNode node(loop,
                Member("self", membership::MemberKind::kEntry, "127.0.0.3:1"),
                settings, log, metrics, hooks);
  node.Start();
  loop.After(10ms, [&] {
    MeshMessage greeting;
    greeting.sender_ =
        ToMessage(Member("agent", membership::MemberKind::kAgent, address));
    greeting.requests_reply_ = true;
    agent.Send(settings.listen_,
               static_cast<char>(DatagramKind::kMesh) + Pack(greeting));
  });
  loop.After(kPatience, [&] { loop.Stop(); });
  loop.Run();
  REQUIRE(answer.has_value());
  CHECK(greeted == address);
  CHECK(answer->weights_.at("m") == 7);
  CHECK(answer->rows_.front().id_ == "self");
  // Agents are no members.
  CHECK(node.LiveMembers().empty());
}

}  // namespace
}  // namespace chalkwell::daemon::direct
