// End to end with real processes: a signed bundle becomes live, and a streamed
// completion comes from an engine with these weights.
#include <catch2/catch.hpp>
#include <filesystem>

#include "fleet/fleet.hpp"
#include "fleet/scratch.hpp"

namespace chalkwell::fleet {
namespace {

using namespace std::chrono_literals;

TEST_CASE("a bundle becomes live and serves a streamed completion",
          "[failure]") {
  const TemporaryFolder scratch;
  Fleet fleet({.services_ = 1, .folder_ = scratch.path()});
  fleet.StartExternalServices();
  fleet.PublishFleet();
  fleet.Publish("bundle", fleet.MakeBundle(1, 7, 3 << 20, 1 << 20));
  fleet.StartNodes();
  REQUIRE(fleet.WaitLive(1, 30s));
  REQUIRE(fleet.WaitEntriesReady(10s));

  const auto& entry = *fleet.Entries().front();
  const auto response =
      Post(entry.caller_address_, "/v1/chat/completions",
           R"({"prompt":"hello","max_tokens":4,"stream":true})",
           {{"authorization", "Bearer " + Fleet::CallerKey()}});
  CHECK(response.status_ == 200);
  CHECK(response.body_.ends_with("data: [DONE]\n\n"));
  const auto weights =
      daemon::FindHeader(response.headers_, "x-chalkwell-weights");
  const auto engine =
      GetJson(fleet.Engines().front()->backend_address_, "/v1/state");
  CHECK(engine.value("manifest", "") == weights);
}

}  // namespace
}  // namespace chalkwell::fleet
