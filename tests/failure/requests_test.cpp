// Kills, freezes and planned stops while requests are in flight. Afterwards no
// request may be lost, executed twice, answered by mixed versions, or reported
// as not run although it ran.
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include "failure/load_invariants.hpp"
#include "fleet/scenario.hpp"

namespace chalkwell::fleet {
namespace {

using namespace std::chrono_literals;

FleetSpec TwoOfEach() { return {.entries_ = 2, .engines_ = 2, .services_ = 2}; }

struct Row {
  std::string name_;
  std::function<void(Fleet&)> inject_fault_;
  /// Whether callers may lose a connection without an outcome, which is allowed
  /// only if the entry at its other end is killed.
  bool may_lose_connection_ = false;
  /// Whether streams in flight may break off, which is allowed only if the
  /// process that produces them is killed.
  bool may_break_stream_ = false;
};

void KillAgent(Fleet& fleet) {
  fleet.Engines().front()->process_.Signal(SIGKILL);
  fleet.Services().front()->process_.Signal(SIGKILL);
}

void KillBackend(Fleet& fleet) {
  fleet.Engines().front()->backend_process_.Signal(SIGKILL);
  fleet.Services().front()->backend_process_.Signal(SIGTERM);
}

void FreezeAgent(Fleet& fleet) {
  fleet.Engines().front()->process_.Signal(SIGSTOP);
  fleet.Services().front()->process_.Signal(SIGSTOP);
  std::this_thread::sleep_for(3s);
  fleet.Engines().front()->process_.Signal(SIGCONT);
  fleet.Services().front()->process_.Signal(SIGCONT);
}

void ReplaceAgent(Fleet& fleet) {
  auto& service = *fleet.Services().front();
  service.process_.Kill();
  fleet.StartNode(service);
}

void StopAgentsBeforeListUpdate(Fleet& fleet) {
  // The agents announce that they drain; the published list still names them.
  fleet.Engines().front()->process_.Signal(SIGTERM);
  fleet.Services().front()->process_.Signal(SIGTERM);
}

void StopEntry(Fleet& fleet) {
  auto& entry = *fleet.Entries().front();
  entry.process_.Signal(SIGTERM);
  CHECK(entry.process_.Wait(20s) == 0);
}

void KillEntry(Fleet& fleet) {
  fleet.Entries().front()->process_.Signal(SIGKILL);
}

void KillAgentWithStoreDown(Fleet& fleet) {
  (void)Post(fleet.platform(), "/control/down?on=1", "");
  KillAgent(fleet);
}

TEST_CASE("requests survive what fails", "[requests]") {
  const auto row = GENERATE(
      Row{"KILL_AGENT", KillAgent}, Row{"KILL_BACK_END", KillBackend},
      Row{"FREEZE_AGENT", FreezeAgent}, Row{"REPLACE_AGENT", ReplaceAgent},
      Row{"LEAVE_LAGGING_LIST", StopAgentsBeforeListUpdate},
      Row{"STOP_ENTRY", StopEntry}, Row{"KILL_ENTRY", KillEntry, true, true},
      Row{"KILL_AGENT_PLATFORM_DOWN", KillAgentWithStoreDown});
  Scenario scenario(TwoOfEach());
  scenario.StartAndWaitUntilLive();
  scenario.StartLoad();
  std::this_thread::sleep_for(1s);
  row.inject_fault_(scenario.fleet());
  std::this_thread::sleep_for(3s);
  const auto result = scenario.StopLoad();
  CAPTURE(row.name_, result.raw_.dump().substr(0, 400));
  CheckLoadInvariants(result);
  if (!row.may_lose_connection_) {
    CHECK(result.lost_ == 0);
  }
  if (!row.may_break_stream_) {
    CHECK(result.broken_ == 0);
  }
  CHECK(result.answered_ + result.unknown_ + result.failed_ + result.refused_ +
            result.lost_ ==
        result.sent_);
  std::cout << "figure unknown_share_" << row.name_ << " "
            << result.unknown_share() << "\nfigure lost_" << row.name_ << " "
            << result.lost_ << " of " << result.sent_ << "\n";
}

TEST_CASE("a planned stop breaks no long stream", "[requests]") {
  Scenario scenario(TwoOfEach());
  scenario.StartAndWaitUntilLive();
  scenario.StartLoad(
      {.requests_per_second_ = 8, .service_share_ = 0, .tokens_ = 400});
  std::this_thread::sleep_for(1500ms);
  auto& entry = *scenario.fleet().Entries().front();
  auto& agent = *scenario.fleet().Engines().front();
  entry.process_.Signal(SIGTERM);
  agent.process_.Signal(SIGTERM);
  CHECK(entry.process_.Wait(20s) == 0);
  CHECK(agent.process_.Wait(20s) == 0);
  const auto result = scenario.StopLoad();
  CAPTURE(result.raw_.dump());
  CHECK(result.broken_ == 0);
  CHECK(result.answered_ == result.sent_);
}

bool LogContains(const std::string& path, const std::string& text) {
  std::ifstream file(path);
  const std::string content((std::istreambuf_iterator<char>(file)), {});
  return content.find(text) != std::string::npos;
}

TEST_CASE("an entry that has stopped serving accepts no connection",
          "[requests]") {
  // Guards against a listener that stays open for 0.3 s after the last work: in
  // 1 of 336 planned stops it accepted a caller's retry while the process
  // ended, and the retry broke off.
  Scenario scenario({.entries_ = 1, .engines_ = 1});
  scenario.StartAndWaitUntilLive();
  auto& entry = *scenario.fleet().Entries().front();
  entry.process_.Signal(SIGTERM);
  REQUIRE(Fleet::WaitFor(
      [&] { return LogContains(entry.log_path_, " stopped "); }, 20s));
  CHECK(Get(entry.caller_address_, "/").end_ == daemon::HttpEnd::kNotSent);
  CHECK(entry.process_.Wait(20s) == 0);
}

}  // namespace
}  // namespace chalkwell::fleet
