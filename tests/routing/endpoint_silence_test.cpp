// Endpoints that are heard no more, and those of an entry's subset.
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

TEST_CASE("an endpoint on a machine that stands still gets no work",
          "[routing]") {
  // Seen: agents on frozen machines told nothing for four seconds; their
  // engines seemed to become empty, and with all others busy each request went
  // to them, was given up after 1.2 s and sent to the next frozen one.
  struct Case {
    std::string name_;
    core::Duration silence_;
    std::function<void(EndpointTable&, core::TimePoint)> meanwhile_;
    std::string chosen_;
  };
  const core::InstanceId a("a");
  const auto row = GENERATE_COPY(
      Case{"heard a moment ago", 300ms, [](auto&, auto) {}, "a"},
      Case{"silent", 850ms, [](auto&, auto) {}, "b"},
      Case{"silent for long", 3000ms, [](auto&, auto) {}, "b"},
      Case{"its agent is silent, its answers come", 1000ms,
           [a](auto& table, auto now) { table.OnProgress(a, now - 100ms); },
           "a"});
  CAPTURE(row.name_);
  EndpointTable table({.domain_ = core::FailureDomainId("d")}, 1);
  table.ApplyList({Row("a", "d"), Row("b", "d")}, 1, true, kStart);
  table.ApplyReport("a:1", Running(0), kStart);
  const auto now = kStart + row.silence_;
  for (auto at = kStart; at <= now; at += 100ms) {
    table.ApplyReport("b:1", Running(7), at);
  }
  row.meanwhile_(table, now);
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  const auto choice = table.Choose(request, now);
  REQUIRE(choice.has_value());
  CHECK(choice->row_.id_.value() == row.chosen_);
}

TEST_CASE("a pause of the entry itself makes no endpoint silent", "[routing]") {
  EndpointTable table({.domain_ = core::FailureDomainId("d")}, 1);
  table.ApplyList({Row("a", "d"), Row("b", "d")}, 1, true, kStart);
  table.ApplyReport("a:1", Running(1), kStart);
  table.ApplyReport("b:1", Running(7), kStart + 50ms);
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  const auto choice = table.Choose(request, kStart + 5s);
  REQUIRE(choice.has_value());
  CHECK(choice->row_.id_.value() == "a");
  CHECK(choice->time_to_first_byte_ < 500ms);
}

TEST_CASE("an entry uses its subset, and others when that can take nothing",
          "[routing]") {
  EndpointTable table(
      {.domain_ = core::FailureDomainId("d"), .entry_ = core::InstanceId("e")},
      1);
  std::vector<EndpointRow> rows;
  rows.reserve(40);
  for (int i = 0; i < 40; ++i) {
    rows.push_back(Row("i" + std::to_string(i), i < 30 ? "d" : "far"));
  }
  table.ApplyList(rows, 1, true, kStart);
  std::set<core::InstanceId> subset;
  for (const auto& chosen : table.Subset()) {
    subset.insert(chosen.id_);
  }
  REQUIRE(subset.size() == EndpointSubsetSettings{}.all_);
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  for (int i = 0; i < 50; ++i) {
    const auto choice = table.Choose(request, kStart);
    REQUIRE(choice.has_value());
    CHECK(subset.contains(choice->row_.id_));
    table.OnSent(choice->row_.id_, 100, kStart);
  }
  auto refused = request;
  refused.tried_.assign(subset.begin(), subset.end());
  const auto choice = table.Choose(refused, kStart);
  REQUIRE(choice.has_value());
  CHECK_FALSE(subset.contains(choice->row_.id_));
}

TEST_CASE("an endpoint that leaves is replaced in the subset", "[routing]") {
  EndpointTable table(
      {.domain_ = core::FailureDomainId("d"), .entry_ = core::InstanceId("e")},
      1);
  std::vector<EndpointRow> rows;
  rows.reserve(40);
  for (int i = 0; i < 40; ++i) {
    rows.push_back(Row("i" + std::to_string(i), "d"));
  }
  table.ApplyList(rows, 1, true, kStart);
  const auto before = table.Subset();
  table.MarkLeaving(before.front().incarnation());
  const auto after = table.Subset();
  CHECK(after.size() == before.size());
  CHECK(std::ranges::find(after, before.front().id_, &EndpointRow::id_) ==
        after.end());
}

}  // namespace
}  // namespace chalkwell::routing
