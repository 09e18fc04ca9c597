// Tests of unresponsive endpoints and of the subset that an entry uses.
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <set>

#include "chalkwell/routing/endpoint_subset.hpp"
#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart{1000s};

EndpointRow Row(const std::string& id, const std::string& domain) {
  EndpointRow row;
  row.id_ = core::InstanceId(id);
  row.service_ = "pool";
  row.address_ = id + ":1";
  row.domain_ = core::FailureDomainId(domain);
  row.slots_ = 8;
  row.weights_version_ = 1;
  return row;
}

config::EngineProfile Engine() {
  config::EngineProfile engine;
  engine.slots_ = 8;
  engine.step_time_ = 14ms;
  engine.prefill_tokens_per_second_ = 14'000;
  engine.steps_per_pass_ = 5;
  engine.mean_prompt_tokens_ = 1000;
  engine.mean_output_tokens_ = 70;
  return engine;
}

LoadReport Running(std::uint32_t active) {
  LoadReport report;
  report.active_ = active;
  report.weights_version_ = 1;
  return report;
}

TEST_CASE("an endpoint on a suspended machine gets no requests", "[routing]") {
  // Agents on suspended machines sent no reports for four seconds. Their
  // engines appeared to become idle while all others were busy, so each request
  // went to one of them, was abandoned after 1.2 s and retried at the next one.
  struct Case {
    std::string name_;
    core::Duration silence_;
    std::function<void(EndpointTable&, core::TimePoint)> act_;
    std::string chosen_;
  };
  const core::InstanceId a("a");
  const auto row = GENERATE_COPY(
      Case{"reported recently", 300ms, [](auto&, auto) {}, "a"},
      Case{"unresponsive", 850ms, [](auto&, auto) {}, "b"},
      Case{"unresponsive for long", 3000ms, [](auto&, auto) {}, "b"},
      Case{"no reports, but response data arrives", 1000ms,
           [a](auto& table, auto now) { table.OnProgress(a, now - 100ms); },
           "a"});
  CAPTURE(row.name_);
  EndpointTable table({.domain_ = core::FailureDomainId("d")}, 1);
  table.ApplyList({Row("a", "d"), Row("b", "d")}, core::StoreRevision(1, 1),
                  true, kStart);
  table.ApplyReport("a:1", Running(0), kStart);
  const auto now = kStart + row.silence_;
  for (auto at = kStart; at <= now; at += 100ms) {
    table.ApplyReport("b:1", Running(7), at);
  }
  row.act_(table, now);
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  const auto choice = table.Choose(request, now);
  REQUIRE(choice.has_value());
  CHECK(choice->row_.id_.value() == row.chosen_);
}

TEST_CASE("endpoints stay responsive when the entry itself was suspended",
          "[routing]") {
  EndpointTable table({.domain_ = core::FailureDomainId("d")}, 1);
  table.ApplyList({Row("a", "d"), Row("b", "d")}, core::StoreRevision(1, 1),
                  true, kStart);
  table.ApplyReport("a:1", Running(1), kStart);
  table.ApplyReport("b:1", Running(7), kStart + 50ms);
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  const auto choice = table.Choose(request, kStart + 5s);
  REQUIRE(choice.has_value());
  CHECK(choice->row_.id_.value() == "a");
  CHECK(choice->time_to_first_byte_ < 500ms);
}

TEST_CASE("endpoints outside the subset are used when none of it is available",
          "[routing]") {
  EndpointTable table(
      {.domain_ = core::FailureDomainId("d"), .entry_ = core::InstanceId("e")},
      1);
  std::vector<EndpointRow> rows;
  rows.reserve(40);
  for (int i = 0; i < 40; ++i) {
    rows.push_back(Row("i" + std::to_string(i), i < 30 ? "d" : "far"));
  }
  table.ApplyList(rows, core::StoreRevision(1, 1), true, kStart);
  std::set<core::InstanceId> subset;
  for (const auto& chosen : table.Subset()) {
    subset.insert(chosen.id_);
  }
  REQUIRE(subset.size() == EndpointSubsetSettings{}.max_serving_);
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  for (int i = 0; i < 50; ++i) {
    const auto choice = table.Choose(request, kStart);
    REQUIRE(choice.has_value());
    CHECK(subset.contains(choice->row_.id_));
    table.OnSent(choice->row_.id_, 100, kStart);
  }
  auto retry = request;
  retry.tried_.assign(subset.begin(), subset.end());
  const auto choice = table.Choose(retry, kStart);
  REQUIRE(choice.has_value());
  CHECK_FALSE(subset.contains(choice->row_.id_));
}

TEST_CASE("a draining endpoint is replaced in the subset", "[routing]") {
  EndpointTable table(
      {.domain_ = core::FailureDomainId("d"), .entry_ = core::InstanceId("e")},
      1);
  std::vector<EndpointRow> rows;
  rows.reserve(40);
  for (int i = 0; i < 40; ++i) {
    rows.push_back(Row("i" + std::to_string(i), "d"));
  }
  table.ApplyList(rows, core::StoreRevision(1, 1), true, kStart);
  const auto before = table.Subset();
  table.MarkLeaving(before.front().incarnation());
  const auto after = table.Subset();
  CHECK(after.size() == before.size());
  CHECK(std::ranges::find(after, before.front().id_, &EndpointRow::id_) ==
        after.end());
}

}  // namespace
}  // namespace chalkwell::routing
