// A short run of the soak with fixed seeds: small deployments, all troubles.
#include "soak/soak.hpp"

#include <catch2/catch.hpp>
#include <sstream>

namespace chalkwell::soak {
namespace {

using namespace std::chrono_literals;

RunSettings Small(std::uint64_t seed, const std::string& kinds) {
  RunSettings settings;
  settings.world_.entries_ = 4;
  settings.world_.engines_ = 4;
  settings.world_.services_ = 2;
  settings.world_.relayed_ = 2;
  settings.world_.folder_ = std::filesystem::temp_directory_path() /
                            ("chalkwell-soak-test-" + std::to_string(seed));
  settings.troubles_.seed_ = seed;
  settings.troubles_.length_ = 15s;
  settings.troubles_.disturbances_ = 500ms;
  settings.troubles_.only_ = kinds;
  settings.rate_ = 150;
  return settings;
}

TEST_CASE("requests that crash endpoints are refused, and no others",
          "[soak]") {
  const auto result = Run(Small(4, "crashing-request,suspend,kill,path-reset"));
  std::ostringstream text;
  Print(result, text);
  INFO(text.str());
  CHECK(result.started_);
  CHECK_FALSE(result.crashes_.empty());
  CHECK(result.findings_.empty());
}

TEST_CASE("endpoints that left get no work, whatever happens meanwhile",
          "[soak]") {
  struct Row {
    std::uint64_t seed_;
    std::string kinds_;
  };
  const auto row = GENERATE(Row{1, ""}, Row{2, "path-held,freeze"},
                            Row{3, "store-fails-some,kill"});
  const auto result = Run(Small(row.seed_, row.kinds_));
  std::ostringstream text;
  Print(result, text);
  INFO("seed " << row.seed_ << "\n" << text.str());
  CHECK(result.started_);
  CHECK(result.arrivals_ > 0);
  CHECK(result.findings_.empty());
}

}  // namespace
}  // namespace chalkwell::soak
