// Short soak runs with fixed seeds on small deployments.
#include "soak/soak.hpp"

#include <catch2/catch.hpp>
#include <sstream>

namespace chalkwell::soak {
namespace {

using namespace std::chrono_literals;

RunSettings SmallRun(std::uint64_t seed, const std::string& kinds) {
  RunSettings settings;
  settings.deployment_.entries_ = 4;
  settings.deployment_.engines_ = 4;
  settings.deployment_.services_ = 2;
  settings.deployment_.relayed_ = 2;
  settings.deployment_.folder_ =
      std::filesystem::temp_directory_path() /
      ("chalkwell-soak-test-" + std::to_string(seed));
  settings.faults_.seed_ = seed;
  settings.faults_.duration_ = 15s;
  settings.faults_.mean_disturbance_interval_ = 500ms;
  settings.faults_.only_kinds_ = kinds;
  settings.rate_ = 150;
  return settings;
}

TEST_CASE("requests that crash endpoints are quarantined, and no others",
          "[soak]") {
  const auto result =
      Run(SmallRun(4, "crashing-request,suspend,kill,path-reset"));
  std::ostringstream text;
  Print(result, text);
  INFO(text.str());
  CHECK(result.started_);
  CHECK_FALSE(result.crashes_.empty());
  CHECK(result.findings_.empty());
}

TEST_CASE("prompt parts that crash endpoints are quarantined, and no others",
          "[soak]") {
  const auto result = Run(SmallRun(6, "crashing-prompt-part,kill,path-reset"));
  std::ostringstream text;
  Print(result, text);
  INFO(text.str());
  CHECK(result.started_);
  CHECK_FALSE(result.crashes_.empty());
  CHECK(result.findings_.empty());
}

TEST_CASE("truncated streams do not look complete, whatever happens meanwhile",
          "[soak]") {
  const auto result =
      Run(SmallRun(5, "truncated-streams,path-reset,kill,crashing-request"));
  std::ostringstream text;
  Print(result, text);
  INFO(text.str());
  CHECK(result.started_);
  CHECK(result.unframed_streams_ > 0);
  CHECK(result.findings_.empty());
}

TEST_CASE("stated rate limits are kept by all entries together", "[soak]") {
  const auto result = Run(SmallRun(7, "rate-limits,kill,path-reset"));
  std::ostringstream text;
  Print(result, text);
  INFO(text.str());
  CHECK(result.started_);
  CHECK(result.rate_limited_arrivals_ > 0);
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
  const auto result = Run(SmallRun(row.seed_, row.kinds_));
  std::ostringstream text;
  Print(result, text);
  INFO("seed " << row.seed_ << "\n" << text.str());
  CHECK(result.started_);
  CHECK(result.arrivals_ > 0);
  CHECK(result.findings_.empty());
}

}  // namespace
}  // namespace chalkwell::soak
