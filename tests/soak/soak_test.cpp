// Short soak runs with fixed seeds on small deployments.
#include "soak/soak.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <sstream>

namespace chalkwell::soak {
namespace {

using namespace std::chrono_literals;

RunSettings SmallRunSettings(std::uint64_t seed, const std::string& kinds) {
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

RunResult RunSmall(std::uint64_t seed, const std::string& kinds) {
  return Run(SmallRunSettings(seed, kinds));
}

std::string Describe(const RunResult& result) {
  std::ostringstream text;
  Print(result, text);
  return text.str();
}

/// Every run must start, send requests and find nothing.
void CheckRun(const RunResult& result) {
  CHECK(result.started_);
  CHECK(result.arrivals_ > 0);
  const auto wrongly_quarantined = std::ranges::count(
      result.findings_, kWronglyQuarantined, &Finding::kind_);
  const auto other_findings =
      std::ssize(result.findings_) - wrongly_quarantined;
  CHECK(wrongly_quarantined == 0);
  CHECK(other_findings == 0);
}

TEST_CASE("requests that crash endpoints are quarantined, and no others",
          "[soak]") {
  const auto result = RunSmall(4, "crashing-request,suspend,kill,path-reset");
  INFO(Describe(result));
  CheckRun(result);
  CHECK_FALSE(result.crashes_.empty());
}

TEST_CASE("prompt parts that crash endpoints are quarantined, and no others",
          "[soak]") {
  const auto result = RunSmall(6, "crashing-prompt-part,kill,path-reset");
  INFO(Describe(result));
  CheckRun(result);
  CHECK_FALSE(result.crashes_.empty());
}

TEST_CASE("truncated streams do not look complete, whatever happens meanwhile",
          "[soak]") {
  const auto result =
      RunSmall(5, "truncated-streams,path-reset,kill,crashing-request");
  INFO(Describe(result));
  CheckRun(result);
  CHECK(result.unframed_streams_ > 0);
}

TEST_CASE("stated rate limits are kept by all entries together", "[soak]") {
  const auto result = RunSmall(7, "rate-limits,kill,path-reset");
  INFO(Describe(result));
  CheckRun(result);
  CHECK(result.rate_limited_arrivals_ > 0);
}

TEST_CASE("endpoints that refuse for a while get no requests meanwhile",
          "[soak]") {
  const auto result = RunSmall(9, "refuse-retry-after,kill,path-reset");
  INFO(Describe(result));
  CheckRun(result);
  CHECK(result.refusals_ > 0);
}

TEST_CASE("endpoints that state that they leave get no further work",
          "[soak]") {
  const auto result = RunSmall(8, "states-leaving,kill,path-reset");
  INFO(Describe(result));
  CheckRun(result);
  CHECK(result.forwarded_departures_ > 0);
}

TEST_CASE("responses are cut while silent endpoints are about to go on",
          "[soak]") {
  auto settings =
      SmallRunSettings(13, "silent-endpoints,config-changes,path-reset");
  settings.deployment_.entries_ = 2;
  settings.deployment_.retry_budget_ =
      "retry_share = 0.01\nretry_reserve = 1\n";
  settings.rate_ = 400;
  const auto result = Run(settings);
  INFO(Describe(result));
  CheckRun(result);
  CHECK(result.silent_attempts_ > 0);
}

TEST_CASE("rules of a series are not in force while watchers lose the store",
          "[soak]") {
  const auto result = RunSmall(15, "config-series,kill,path-reset");
  INFO(Describe(result));
  CheckRun(result);
  CHECK(result.rules_probes_ > 0);
}

TEST_CASE("retries exceed their budget while herds of entries are killed",
          "[soak]") {
  auto settings = SmallRunSettings(17, "failing-endpoints,kill-herd");
  settings.deployment_.retry_budget_ =
      "retry_share = 0.2\nretry_reserve = 40\n";
  settings.deployment_.bounds_.retries_.extra_ = 40;
  settings.faults_.mean_disturbance_interval_ = 1200ms;
  settings.faults_.mean_departure_interval_ = 20s;
  settings.rate_ = 900;
  const auto result = Run(settings);
  INFO(Describe(result));
  CheckRun(result);
  CHECK(result.retries_ > 0);
}

TEST_CASE("endpoints that left get work after the store was restored",
          "[soak]") {
  auto settings = SmallRunSettings(10, "store-restored,kill");
  settings.faults_.duration_ = 30s;
  const auto result = Run(settings);
  INFO(Describe(result));
  CheckRun(result);
  CHECK(result.injected_.contains("store-restored"));
}

TEST_CASE("endpoints that left get no work, whatever happens meanwhile",
          "[soak]") {
  struct Row {
    std::uint64_t seed_;
    std::string kinds_;
  };
  const auto row = GENERATE(Row{1, ""}, Row{2, "path-held,freeze"},
                            Row{3, "store-fails-some,kill"});
  const auto result = RunSmall(row.seed_, row.kinds_);
  INFO("seed " << row.seed_ << "\n" << Describe(result));
  CheckRun(result);
}

}  // namespace
}  // namespace chalkwell::soak
