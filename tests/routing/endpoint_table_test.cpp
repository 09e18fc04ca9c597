// What an entry believes of endpoints, and whom it chooses by it.
#include "chalkwell/routing/endpoint_table.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart{1000s};

EndpointRow Row(const std::string& id, const std::string& domain = "near",
                std::optional<std::uint64_t> version = 1) {
  EndpointRow row;
  row.id_ = core::InstanceId(id);
  row.service_ = "pool";
  row.address_ = id + ":1";
  row.domain_ = core::FailureDomainId(domain);
  row.slots_ = 16;
  row.weights_version_ = version;
  return row;
}

EndpointTable Table(std::vector<EndpointRow> rows) {
  EndpointTable table({.domain_ = core::FailureDomainId("near")}, 1);
  table.ApplyList(std::move(rows), 1, true, kStart);
  return table;
}

config::EngineProfile Engine() {
  config::EngineProfile engine;
  engine.slots_ = 16;
  engine.step_time_ = 10ms;
  engine.prefill_tokens_per_second_ = 20'000;
  engine.steps_per_pass_ = 5;
  engine.mean_prompt_tokens_ = 1000;
  engine.mean_output_tokens_ = 90;
  return engine;
}

std::string Chosen(EndpointTable& table, const ChoiceRequest& request,
                   core::TimePoint now) {
  const auto choice = table.Choose(request, now);
  return choice ? choice->row_.id_.value() : "";
}

TEST_CASE("an endpoint that cannot serve a request is not chosen",
          "[routing]") {
  struct Case {
    std::string name_;
    std::function<void(EndpointTable&, ChoiceRequest&)> change_;
    std::string chosen_;
  };
  const auto row = GENERATE(
      Case{"nothing wrong", [](auto&, auto&) {}, "a"},
      Case{"it leaves",
           [](auto& table, auto&) {
             table.MarkLeaving({core::InstanceId("a"), std::nullopt});
           },
           "far"},
      Case{"another incarnation has its address",
           [](auto& table, auto&) {
             table.MarkTerminated({core::InstanceId("a"), std::nullopt});
           },
           "far"},
      Case{"it was tried",
           [](auto&, auto& request) {
             request.tried_ = {core::InstanceId("a")};
           },
           "far"},
      Case{"it said that it holds nothing",
           [](auto& table, auto&) {
             table.MarkVersion(core::InstanceId("a"), std::nullopt);
           },
           "far"},
      Case{"it loads",
           [](auto& table, auto&) {
             LoadReport report;
             report.accepting_ = false;
             report.weights_version_ = 1;
             table.ApplyReport("a:1", report, kStart);
           },
           "far"},
      Case{"its weights are older than the bound",
           [](auto& table, auto& request) {
             table.MarkVersion(core::InstanceId("far"), 2);
             request.version_constraint_.min_version_ = 2;
           },
           "far"},
      Case{"its old weights would begin too late behind a slow path",
           [](auto& table, auto& request) {
             LoadReport report;
             report.weights_version_ = 1;
             report.path_delay_ = 800ms;
             table.ApplyReport("a:1", report, kStart);
             table.MarkVersion(core::InstanceId("far"), 2);
             request.version_constraint_ = {0, 2, kStart + 700ms};
           },
           "far"},
      Case{"its old weights may begin too late, and nothing is heard of it",
           [](auto& table, auto& request) {
             table.MarkVersion(core::InstanceId("far"), 2);
             request.version_constraint_ = {0, 2, kStart + 2s};
           },
           "far"},
      Case{"another one reports",
           [](auto& table, auto&) {
             LoadReport report;
             report.weights_version_ = 1;
             table.ApplyReport("far:1", report, kStart);
           },
           "far"},
      Case{"its path holds messages back",
           [](auto& table, auto&) {
             LoadReport report;
             report.weights_version_ = 1;
             report.path_delay_ = 600ms;
             table.ApplyReport("a:1", report, kStart);
           },
           "far"},
      Case{"other weights are pinned",
           [](auto& table, auto& request) {
             table.MarkVersion(core::InstanceId("far"), 3);
             request.weights_version_ = 3;
           },
           "far"},
      Case{"it has as many own requests as this entry may have there",
           [](auto& table, auto& request) {
             table.OnSent(core::InstanceId("a"), 0, kStart);
             request.max_in_flight_ = 1;
           },
           "far"},
      Case{"it has fewer",
           [](auto& table, auto& request) {
             table.OnSent(core::InstanceId("a"), 0, kStart);
             request.max_in_flight_ = 2;
           },
           "a"},
      Case{"another service is asked for",
           [](auto&, auto& request) { request.service_ = "other"; }, ""});
  CAPTURE(row.name_);
  auto table = Table({Row("a"), Row("far", "elsewhere")});
  const auto engine = Engine();
  ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  row.change_(table, request);
  CHECK(Chosen(table, request, kStart) == row.chosen_);
}

TEST_CASE("old weights are left early at an engine whose reports stay away",
          "[routing]") {
  // Seen: a narrowed link lost an agent's reports; the last one was 1.3 s old
  // and good, and a request took 1.6 s and began after the bound.
  struct Case {
    core::Duration age_;
    std::string chosen_;
  };
  const auto row = GENERATE(Case{100ms, "a"}, Case{600ms, "a"},
                            Case{800ms, "far"}, Case{1300ms, "far"});
  auto table = Table({Row("a"), Row("far", "elsewhere")});
  LoadReport report;
  report.weights_version_ = 1;
  table.ApplyReport("a:1", report, kStart);
  table.MarkVersion(core::InstanceId("far"), 2);
  const auto engine = Engine();
  const auto now = kStart + row.age_;
  ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  request.version_constraint_ = {0, 2, now + 2s};
  CHECK(Chosen(table, request, now) == row.chosen_);
}

TEST_CASE("the emptier endpoint is chosen, the near one when equal",
          "[routing]") {
  struct Case {
    std::uint32_t near_;
    std::uint32_t far_;
    std::string chosen_;
  };
  const auto row =
      GENERATE(Case{0, 0, "a"}, Case{4, 4, "a"}, Case{16, 2, "far"},
               Case{30, 16, "far"}, Case{2, 16, "a"});
  auto table = Table({Row("a"), Row("far", "elsewhere")});
  LoadReport report;
  report.weights_version_ = 1;
  report.active_ = row.near_;
  table.ApplyReport("a:1", report, kStart);
  report.active_ = row.far_;
  table.ApplyReport("far:1", report, kStart);
  const auto engine = Engine();
  CHECK(Chosen(table, {.service_ = "pool", .engine_ = &engine}, kStart) ==
        row.chosen_);
}

TEST_CASE("own requests count until a report has seen them", "[routing]") {
  auto table = Table({Row("a")});
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  LoadReport report;
  report.weights_version_ = 1;
  report.active_ = 3;
  table.ApplyReport("a:1", report, kStart);
  table.OnSent(core::InstanceId("a"), 1000, kStart + 1ms);
  table.OnSent(core::InstanceId("a"), 1000, kStart + 2ms);
  CHECK(table.Choose(request, kStart + 3ms)->requests_ahead_ == 5);
  report.active_ = 5;
  table.ApplyReport("a:1", report, kStart + 10ms);
  CHECK(table.Choose(request, kStart + 11ms)->requests_ahead_ == 5);
}

TEST_CASE("the load of an endpoint is what it reported and what was sent since",
          "[routing]") {
  auto table = Table({Row("a")});
  const core::InstanceId id("a");
  CHECK(table.LoadOf(core::InstanceId("unknown"), kStart) == 0);
  LoadReport report;
  report.active_ = 3;
  report.queued_ = 2;
  table.ApplyReport("a:1", report, kStart);
  CHECK(table.LoadOf(id, kStart) == 5);
  table.OnSent(id, 10, kStart + 1ms);
  CHECK(table.LoadOf(id, kStart + 1ms) == 6);
}

TEST_CASE("an older report does not undo a newer one", "[routing]") {
  auto table = Table({Row("a")});
  LoadReport report;
  report.weights_version_ = 2;
  table.ApplyReport("a:1", report, kStart + 5ms);
  report.weights_version_ = 1;
  table.ApplyReport("a:1", report, kStart);
  CHECK(table.NewestVersion("pool") == 2);
}

TEST_CASE("an endpoint that fails often is left until it is forgotten",
          "[routing]") {
  auto table = Table({Row("a"), Row("b")});
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  for (int i = 0; i < 5; ++i) {
    table.OnSent(core::InstanceId("a"), 10, kStart);
    table.OnEnded(core::InstanceId("a"), 10, kStart, false,
                  EndpointOutcome::kFailed, kStart);
  }
  for (int i = 0; i < 20; ++i) {
    CHECK(Chosen(table, request, kStart) == "b");
  }
  LoadReport busy;
  busy.weights_version_ = 1;
  busy.active_ = 16;
  table.ApplyReport("b:1", busy, kStart + 30s);
  LoadReport idle;
  idle.weights_version_ = 1;
  table.ApplyReport("a:1", idle, kStart + 30s);
  CHECK(Chosen(table, request, kStart + 30s) == "a");
}

TEST_CASE("an endpoint whose first bytes are overdue is left at once",
          "[routing]") {
  // Seen on a day with a narrowed link: requests took 1.5 s to arrive there.
  auto table = Table({Row("a"), Row("far", "elsewhere")});
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  const core::InstanceId id("a");
  table.OnSent(id, 0, kStart);
  CHECK(Chosen(table, request, kStart + 100ms) == "a");
  CHECK(Chosen(table, request, kStart + 900ms) == "far");
  SECTION("an answer that was late is remembered for a while") {
    table.OnFirstByte(id, 0, kStart, 50ms, kStart + 2s);
    CHECK(Chosen(table, request, kStart + 2s) == "far");
    CHECK(Chosen(table, request, kStart + 20s) == "a");
  }
  SECTION("one that was given up no longer counts") {
    table.OnEnded(id, 0, kStart, false, EndpointOutcome::kCancelled,
                  kStart + 1s);
    CHECK(Chosen(table, request, kStart + 1s) == "a");
  }
}

TEST_CASE("a change of the list that another process saw", "[routing]") {
  struct Case {
    std::string name_;
    std::uint64_t from_;
    std::uint64_t to_;
    bool taken_;
    std::vector<std::string> ids_;
    std::uint64_t revision_;
  };
  const auto row = GENERATE(Case{"next", 5, 9, true, {"b", "c"}, 9},
                            Case{"overlapping", 3, 9, true, {"b", "c"}, 9},
                            Case{"older", 3, 4, true, {"a", "b"}, 5},
                            Case{"behind a gap", 7, 9, false, {"a", "b"}, 5});
  CAPTURE(row.name_);
  EndpointTable table({.domain_ = core::FailureDomainId("near")}, 1);
  table.ApplyList({Row("a"), Row("b")}, 5, true, kStart);
  auto leaving = Row("b");
  leaving.leaving_ = true;
  EndpointListChange change;
  change.from_ = row.from_;
  change.to_ = row.to_;
  change.rows_ = {leaving, Row("c")};
  change.removed_ = {core::InstanceId("a")};
  CHECK(table.ApplyChange(change, kStart) == row.taken_);
  std::vector<std::string> ids;
  for (const auto& known : table.Rows()) {
    ids.push_back(known.id_.value());
    const bool leaves = known.id_ == leaving.id_ && row.revision_ == row.to_;
    CHECK(known.leaving_ == leaves);
  }
  CHECK(ids == row.ids_);
  CHECK(table.revision() == row.revision_);
}

TEST_CASE("a whole list removes what its teller never knew of", "[routing]") {
  // One who has just started reads for the others: rows that went before its
  // first read are in none of its reads.
  const bool complete = GENERATE(true, false);
  EndpointTable table({.domain_ = core::FailureDomainId("near")}, 1);
  table.ApplyList({Row("a"), Row("b")}, 5, true, kStart);
  EndpointListChange change;
  change.to_ = 9;
  change.rows_ = {Row("b")};
  change.full_ = true;
  change.complete_ = complete;
  CHECK(table.ApplyChange(change, kStart));
  CHECK(table.size() == (complete ? 1 : 2));
  change.to_ = 10;
  CHECK(table.ApplyChange(change, kStart + 3s));
  CHECK(table.size() == 1);
}

TEST_CASE("an endpoint that is gone is not used, however its going is told",
          "[routing]") {
  // Requests reached endpoints whose rows were gone: the list that lacked them
  // came while leases might have lapsed, so they were kept; the complete list
  // after it had the same revision, or never came to a process that only hears
  // of the reads of others.
  struct Case {
    std::string name_;
    /// Rows of the list that lacks the endpoint, told a moment after the
    /// incomplete one; its revision is 9 as well.
    bool told_complete_;
    core::Duration after_;
    bool used_;
  };
  const auto row =
      GENERATE(Case{"in the grace", false, 2s, true},
               Case{"told again, complete, nothing changed", true, 1s, false},
               Case{"told nothing more", false, 2600ms, false});
  INFO(row.name_);
  auto table = Table({Row("a"), Row("b")});
  EndpointListChange change;
  change.to_ = 9;
  change.rows_ = {Row("b")};
  change.full_ = true;
  change.complete_ = false;
  CHECK(table.ApplyChange(change, kStart));
  if (row.told_complete_) {
    change.complete_ = true;
    CHECK(table.ApplyChange(change, kStart + 600ms));
  }
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool",
                              .engine_ = &engine,
                              .tried_ = {core::InstanceId("b")}};
  CHECK(Chosen(table, request, kStart + row.after_) == (row.used_ ? "a" : ""));
}

TEST_CASE("the published list: revisions rise, lapsed rows have a grace",
          "[routing]") {
  auto table = Table({Row("a"), Row("b")});
  SECTION("an older list is ignored") {
    table.ApplyList({Row("a")}, 5, true, kStart);
    table.ApplyList({Row("a"), Row("b")}, 4, true, kStart);
    CHECK(table.size() == 1);
  }
  SECTION("a complete list removes at once") {
    table.ApplyList({Row("a")}, 5, true, kStart);
    CHECK(table.size() == 1);
  }
  SECTION("after the store was away a missing row stays for the grace time") {
    table.ApplyList({Row("a")}, 5, false, kStart);
    CHECK(table.size() == 2);
    table.ApplyList({Row("a")}, 6, false, kStart + 2s);
    CHECK(table.size() == 2);
    table.ApplyList({Row("a")}, 7, false, kStart + 3s);
    CHECK(table.size() == 1);
  }
  SECTION("a row that leaves does not come back to work") {
    auto leaving = Row("b");
    leaving.leaving_ = true;
    table.ApplyList({Row("a"), leaving}, 5, true, kStart);
    table.ApplyList({Row("a"), Row("b")}, 6, true, kStart);
    const auto engine = Engine();
    CHECK(Chosen(table,
                 {.service_ = "pool",
                  .engine_ = &engine,
                  .tried_ = {core::InstanceId("a")}},
                 kStart)
              .empty());
  }
}

TEST_CASE("waiting behind full places is predicted", "[routing]") {
  auto table = Table({Row("a")});
  const auto engine = Engine();
  const ChoiceRequest request{
      .service_ = "pool", .engine_ = &engine, .prompt_tokens_ = 1000};
  LoadReport report;
  report.weights_version_ = 1;
  core::Duration before{};
  for (const std::uint32_t active : {0U, 8U, 15U, 16U, 24U, 40U}) {
    report.active_ = active;
    table.ApplyReport("a:1", report, kStart);
    const auto first_byte = table.Choose(request, kStart)->time_to_first_byte_;
    CHECK(first_byte >= before);
    before = first_byte;
  }
  CHECK(before > 500ms);
}

EndpointRow RowAt(const std::string& id, std::uint64_t created) {
  auto row = Row(id);
  row.address_ = "shared:1";
  row.created_ = created;
  return row;
}

TEST_CASE("after a restart the new incarnation is chosen and reported of",
          "[routing]") {
  // Seen: all endpoints restarted at once; their old rows stayed listed for
  // 3.6 s, were chosen and refused, and got half of the reports.
  const auto order = GENERATE(0, 1);
  auto table = order == 0 ? Table({RowAt("a", 3), RowAt("b", 8)})
                          : Table({RowAt("z", 3), RowAt("b", 8)});
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  LoadReport report;
  report.weights_version_ = 1;
  report.active_ = 7;
  table.ApplyReport("shared:1", report, kStart);
  CHECK(Chosen(table, request, kStart) == "b");
  CHECK(table.LoadOf(core::InstanceId("b"), kStart) == 7);
}

TEST_CASE("an incarnation that its agent told is used before it is listed",
          "[routing]") {
  auto table = Table({RowAt("a", 3)});
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  table.ApplyAnnouncement(RowAt("b", 0), kStart);
  LoadReport report;
  report.weights_version_ = 1;
  table.ApplyReport("shared:1", report, kStart);
  CHECK(Chosen(table, request, kStart) == "b");
  table.ApplyList({RowAt("a", 3)}, 2, true, kStart + 1s);
  CHECK(Chosen(table, request, kStart + 1s) == "b");
  // Unlisted for too long it is gone, and is not told back.
  table.ApplyList({RowAt("a", 3)}, 3, true, kStart + 3s);
  CHECK(Chosen(table, request, kStart + 3s).empty());
  table.ApplyAnnouncement(RowAt("b", 0), kStart + 3s);
  CHECK(Chosen(table, request, kStart + 3s).empty());
}

TEST_CASE("a told endpoint that a later list lacks gets no work", "[routing]") {
  // It was published and withdrawn between two reads of the list.
  struct Case {
    std::string name_;
    /// After the telling, the list was asked for.
    core::Duration asked_;
    bool complete_;
    bool whole_;
    bool listed_before_;
    bool used_;
  };
  const auto row = GENERATE(
      Case{"asked before it can be there", 100ms, true, true, false, true},
      Case{"asked later", 400ms, true, true, false, false},
      Case{"leases may have lapsed", 400ms, false, true, false, true},
      Case{"a change that does not name it", 400ms, true, false, false, false},
      Case{"a change, and leases may have lapsed", 400ms, false, false, false,
           true},
      Case{"a change that does not name it, as the list does", 400ms, true,
           false, true, true});
  CAPTURE(row.name_);
  auto table = Table({RowAt("a", 3)});
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  table.ApplyAnnouncement(RowAt("b", 0), kStart);
  LoadReport report;
  report.weights_version_ = 1;
  table.ApplyReport("shared:1", report, kStart);
  if (row.listed_before_) {
    table.ApplyList({RowAt("a", 3), RowAt("b", 4)}, 2, true, kStart + 50ms,
                    kStart);
  }
  EndpointListChange change;
  change.from_ = 1;
  change.to_ = 3;
  change.full_ = row.whole_;
  change.complete_ = row.complete_;
  change.as_of_ = kStart + row.asked_;
  if (row.whole_) {
    change.rows_ = {RowAt("a", 3)};
  }
  CHECK(table.ApplyChange(change, kStart + row.asked_ + 10ms));
  CHECK(Chosen(table, request, kStart + row.asked_ + 10ms) ==
        (row.used_ ? "b" : ""));
}

TEST_CASE("an endpoint that left the list is not told back", "[routing]") {
  auto table = Table({RowAt("a", 3)});
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  table.ApplyList({}, 2, true, kStart + 1s);
  table.ApplyAnnouncement(RowAt("a", 0), kStart + 1s);
  CHECK(Chosen(table, request, kStart + 1s).empty());
}

TEST_CASE("another incarnation that answered ends the old row", "[routing]") {
  auto table = Table({RowAt("a", 3)});
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  table.MarkReplaced(core::InstanceId("a"), core::InstanceId("b"));
  CHECK(Chosen(table, request, kStart).empty());
  // Its lease goes on for seconds: each list still has it.
  table.ApplyList({RowAt("a", 3)}, 2, true, kStart + 1s);
  CHECK(Chosen(table, request, kStart + 1s).empty());
  table.ApplyList({RowAt("a", 3), RowAt("b", 8)}, 3, true, kStart + 1s);
  CHECK(Chosen(table, request, kStart + 1s) == "b");
}

}  // namespace
}  // namespace chalkwell::routing
