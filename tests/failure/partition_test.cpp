// A failure domain that is isolated from the others and from the configuration
// store keeps serving, and adopts the active version once reconnected.
#include <catch2/catch.hpp>
#include <iostream>
#include <thread>

#include "failure/load_invariants.hpp"
#include "fleet/scenario.hpp"

namespace chalkwell::fleet {
namespace {

using namespace std::chrono_literals;

constexpr const char* kIsolatedDomain = "mahebourg";

/// Engines inside or outside the isolated domain.
std::vector<Node*> SelectEngines(Fleet& fleet, bool isolated) {
  auto engines = fleet.Engines();
  std::erase_if(engines, [isolated](const Node* node) {
    return (node->domain_ == kIsolatedDomain) != isolated;
  });
  return engines;
}

bool AllServeVersion(const std::vector<Node*>& engines, std::uint64_t version) {
  return std::ranges::all_of(engines, [version](const Node* node) {
    const auto status = GetJson(node->admin_address_, "/status");
    return status.is_object() && status.value("ready", false) &&
           status.value("version", std::uint64_t{0}) == version;
  });
}

TEST_CASE("an isolated domain keeps serving and catches up afterwards",
          "[cut]") {
  struct Row {
    std::string name_;
    std::function<void(Fleet&)> inject_faults_;
  };
  const auto row =
      GENERATE(Row{"CUT_DOMAIN", [](Fleet&) {}},
               Row{"CUT_DOMAIN_AND_KILL_AGENTS",
                   [](Fleet& fleet) {
                     for (const auto* id :
                          {"mahebourg-engine-1", "port-louis-service-1"}) {
                       auto& node = fleet.node(id);
                       node.process_.Kill();
                       fleet.StartNode(node);
                     }
                   }},
               Row{"CUT_DOMAIN_AND_REPLACE_ENTRY", [](Fleet& fleet) {
                     auto& entry = fleet.node("mahebourg-entry-1");
                     entry.process_.Signal(SIGTERM);
                     CHECK(entry.process_.Wait(20s) == 0);
                     fleet.StartNode(entry);
                   }});
  Scenario scenario({.domains_ = {"port-louis", "grand-baie", kIsolatedDomain},
                     .entries_ = 2,
                     .engines_ = 2,
                     .services_ = 1,
                     .uses_relays_ = true});
  scenario.StartAndWaitUntilLive();
  auto& fleet = scenario.fleet();
  scenario.StartLoad();
  std::this_thread::sleep_for(1s);
  fleet.Isolate(kIsolatedDomain);
  std::this_thread::sleep_for(1s);
  row.inject_faults_(fleet);
  fleet.Publish("bundle", fleet.MakeBundle(2, 20, 1 << 20, 256 << 10));
  CHECK(Fleet::WaitFor(
      [&] { return AllServeVersion(SelectEngines(fleet, false), 2); }, 60s));
  CHECK(Fleet::WaitFor(
      [&] { return AllServeVersion(SelectEngines(fleet, true), 1); }, 60s));
  fleet.Heal();
  CHECK(fleet.WaitLive(2, 60s));
  std::this_thread::sleep_for(1s);
  const auto result = scenario.StopLoad();
  CAPTURE(row.name_, result.raw_.dump().substr(0, 400));
  CheckLoadInvariants(result);
  CHECK(result.lost_ == 0);
  CHECK(result.broken_ == 0);
  std::cout << "figure unknown_share_" << row.name_ << " "
            << result.unknown_share() << "\nfigure refused_" << row.name_ << " "
            << result.refused_ << " of " << result.sent_ << "\n";
}

}  // namespace
}  // namespace chalkwell::fleet
