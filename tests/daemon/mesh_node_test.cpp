// How processes come to know each other by datagrams.
#include "daemon/direct/mesh_node.hpp"

#include <catch2/catch.hpp>
#include <memory>

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

TEST_CASE("an entry that hears of an agent makes itself known to it",
          "[daemon]") {
  // Seen: all processes started at once; 1.5 s later entries had no report of 8
  // of 20 agents, which did not know them yet.
  struct Row {
    membership::MemberKind self_;
    bool introduced_;
  };
  const auto row = GENERATE(Row{membership::MemberKind::kEntry, true},
                            Row{membership::MemberKind::kAgent, false});
  Loop loop;
  EventLog log(LogFormat::kJson, core::Severity::kError, "test");
  Metrics metrics;
  bool introduced = false;
  UdpSocket agent(loop, {"127.0.0.1", 0}, [&](std::string_view bytes) {
    const auto message = Unpack<MeshMessage>(std::string(bytes), "test");
    // Rounds of gossip carry rows; they come sooner or later.
    if (message.rows_.empty()) {
      introduced = true;
    }
    loop.Stop();
  });
  const auto agent_address = "127.0.0.1:" + std::to_string(agent.port());
  const UdpSocket reserved(loop, {"127.0.0.2", 0}, [](std::string_view) {});
  MeshSettings settings;
  settings.listen_ = {"127.0.0.3", reserved.port()};
  settings.interval_ = 1h;
  MeshNode node(loop, Member("self", row.self_, "127.0.0.3:1"), settings, log,
                metrics, {});
  node.Start();
  // The first rounds are over when nobody is known.
  loop.After(10ms, [&] {
    MeshMessage rumour;
    rumour.rows_.push_back(
        ToMessage(Member("a", membership::MemberKind::kAgent, agent_address)));
    agent.Send(settings.listen_, Pack(rumour));
  });
  loop.After(kPatience, [&] { loop.Stop(); });
  loop.Run();
  CHECK(introduced == row.introduced_);
}

}  // namespace
}  // namespace chalkwell::daemon::direct
