// The role of designated reader passes to a process that can reach the
// configuration store.
#include <catch2/catch.hpp>

#include "fleet/scenario.hpp"

namespace chalkwell::fleet {
namespace {

using namespace std::chrono_literals;

TEST_CASE("one process that reaches the store is enough to update all",
          "[failure]") {
  FleetSpec spec{.domains_ = {"port-louis", "grand-baie"}, .entries_ = 3};
  spec.entry_settings_ = {{"platform.address", "127.0.0.1:9"}};
  spec.agent_settings_ = {{"platform.address", "127.0.0.1:9"}};
  const auto reader_id = GENERATE(as<std::string>{}, "port-louis-entry-1",
                                  "port-louis-entry-2", "port-louis-entry-3");
  Scenario scenario(std::move(spec));
  auto& fleet = scenario.fleet();
  fleet.SetNodeSetting(reader_id, "platform.address", fleet.platform());
  scenario.StartAndWaitUntilLive();
  fleet.Publish("bundle", fleet.MakeBundle(2, 20, 1 << 20, 256 << 10));
  CHECK(fleet.WaitLive(2, 40s));
}

}  // namespace
}  // namespace chalkwell::fleet
