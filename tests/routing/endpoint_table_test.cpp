// Tests of the state that an entry keeps of endpoints, and of its choices.
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
  table.ApplyList(std::move(rows), core::StoreRevision(1, 1), true, kStart);
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
      Case{"usable", [](auto&, auto&) {}, "a"},
      Case{"it is draining",
           [](auto& table, auto&) {
             table.MarkLeaving({core::InstanceId("a"), std::nullopt});
           },
           "far"},
      Case{"terminated",
           [](auto& table, auto&) {
             table.MarkTerminated({core::InstanceId("a"), std::nullopt});
           },
           "far"},
      Case{"already tried",
           [](auto&, auto& request) {
             request.tried_ = {core::InstanceId("a")};
           },
           "far"},
      Case{"announced that it holds no weights",
           [](auto& table, auto&) {
             table.MarkVersion(core::InstanceId("a"), std::nullopt);
           },
           "far"},
      Case{"loading weights",
           [](auto& table, auto&) {
             LoadReport report;
             report.accepting_ = false;
             report.weights_version_ = 1;
             table.ApplyReport("a:1", report, kStart);
           },
           "far"},
      Case{"weights older than the minimum",
           [](auto& table, auto& request) {
             table.MarkVersion(core::InstanceId("far"), 2);
             request.version_constraint_.min_version_ = 2;
           },
           "far"},
      Case{"old weights would start too late over a slow path",
           [](auto& table, auto& request) {
             LoadReport report;
             report.weights_version_ = 1;
             report.path_delay_ = 800ms;
             table.ApplyReport("a:1", report, kStart);
             table.MarkVersion(core::InstanceId("far"), 2);
             request.version_constraint_ = {0, 2, kStart + 700ms};
           },
           "far"},
      Case{"old weights may start too late without a report",
           [](auto& table, auto& request) {
             table.MarkVersion(core::InstanceId("far"), 2);
             request.version_constraint_ = {0, 2, kStart + 2s};
           },
           "far"},
      Case{"no report, unlike the other endpoint",
           [](auto& table, auto&) {
             LoadReport report;
             report.weights_version_ = 1;
             table.ApplyReport("far:1", report, kStart);
           },
           "far"},
      Case{"delayed network path",
           [](auto& table, auto&) {
             LoadReport report;
             report.weights_version_ = 1;
             report.path_delay_ = 600ms;
             table.ApplyReport("a:1", report, kStart);
           },
           "far"},
      Case{"request pinned to other weights",
           [](auto& table, auto& request) {
             table.MarkVersion(core::InstanceId("far"), 3);
             request.weights_version_ = 3;
           },
           "far"},
      Case{"limit of requests in flight reached",
           [](auto& table, auto& request) {
             table.OnSent(core::InstanceId("a"), 0, kStart);
             request.max_in_flight_ = 1;
           },
           "far"},
      Case{"limit of requests in flight not reached",
           [](auto& table, auto& request) {
             table.OnSent(core::InstanceId("a"), 0, kStart);
             request.max_in_flight_ = 2;
           },
           "a"},
      Case{"outside the regions in which the request may be processed",
           [](auto&, auto& request) {
             request.allowed_domains_.emplace(
                 {core::FailureDomainId("elsewhere")});
           },
           "far"},
      Case{"no region may process the request",
           [](auto&, auto& request) { request.allowed_domains_.emplace(); },
           ""},
      Case{"request for another service",
           [](auto&, auto& request) { request.service_ = "other"; }, ""});
  CAPTURE(row.name_);
  auto table = Table({Row("a"), Row("far", "elsewhere")});
  const auto engine = Engine();
  ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  row.change_(table, request);
  CHECK(Chosen(table, request, kStart) == row.chosen_);
}

TEST_CASE("old weights are abandoned early at an engine without recent reports",
          "[routing]") {
  // A degraded link dropped an agent's reports. The last one was 1.3 s old and
  // showed no delay, but a request took 1.6 s and started on the old weights
  // after the version bound.
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

TEST_CASE("the less loaded endpoint is chosen, a local one if equal",
          "[routing]") {
  struct Case {
    std::uint32_t local_load_;
    std::uint32_t remote_load_;
    std::string chosen_;
  };
  const auto row =
      GENERATE(Case{0, 0, "a"}, Case{4, 4, "a"}, Case{16, 2, "far"},
               Case{30, 16, "far"}, Case{2, 16, "a"});
  auto table = Table({Row("a"), Row("far", "elsewhere")});
  LoadReport report;
  report.weights_version_ = 1;
  report.active_ = row.local_load_;
  table.ApplyReport("a:1", report, kStart);
  report.active_ = row.remote_load_;
  table.ApplyReport("far:1", report, kStart);
  const auto engine = Engine();
  CHECK(Chosen(table, {.service_ = "pool", .engine_ = &engine}, kStart) ==
        row.chosen_);
}

TEST_CASE("own requests are added until a report includes them", "[routing]") {
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

TEST_CASE("the load of an endpoint is its report plus requests sent since",
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

TEST_CASE("a failing endpoint is avoided until its failures have decayed",
          "[routing]") {
  auto table = Table({Row("a"), Row("b")});
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  const bool silent = GENERATE(false, true);
  for (int i = 0; i < 5; ++i) {
    const core::InstanceId id("a");
    table.OnSent(id, 10, kStart);
    if (silent) {
      table.OnSilent(id, kStart, kStart);
    }
    table.OnEnded(
        id, 10, kStart, false,
        silent ? EndpointOutcome::kCancelled : EndpointOutcome::kFailed,
        kStart);
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

TEST_CASE("an endpoint with an overdue first byte is avoided at once",
          "[routing]") {
  // Over a degraded link, requests took 1.5 s to arrive at the endpoint.
  auto table = Table({Row("a"), Row("far", "elsewhere")});
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  const core::InstanceId id("a");
  table.OnSent(id, 0, kStart);
  CHECK(Chosen(table, request, kStart + 100ms) == "a");
  CHECK(Chosen(table, request, kStart + 900ms) == "far");
  SECTION("a late first byte counts until it has decayed") {
    table.OnFirstByte(id, 0, kStart, 50ms, kStart + 2s);
    CHECK(Chosen(table, request, kStart + 2s) == "far");
    CHECK(Chosen(table, request, kStart + 20s) == "a");
  }
  SECTION("a cancelled request does not count") {
    table.OnEnded(id, 0, kStart, false, EndpointOutcome::kCancelled,
                  kStart + 1s);
    CHECK(Chosen(table, request, kStart + 1s) == "a");
  }
}

TEST_CASE("applying a change of the list published by another process",
          "[routing]") {
  struct Case {
    std::string name_;
    std::uint64_t from_;
    std::uint64_t to_;
    bool applied_;
    std::vector<std::string> ids_;
    std::uint64_t revision_;
  };
  const auto row = GENERATE(Case{"next", 5, 9, true, {"b", "c"}, 9},
                            Case{"overlapping", 3, 9, true, {"b", "c"}, 9},
                            Case{"older", 3, 4, true, {"a", "b"}, 5},
                            Case{"after a gap", 7, 9, false, {"a", "b"}, 5});
  CAPTURE(row.name_);
  EndpointTable table({.domain_ = core::FailureDomainId("near")}, 1);
  table.ApplyList({Row("a"), Row("b")}, core::StoreRevision(1, 5), true,
                  kStart);
  auto leaving = Row("b");
  leaving.leaving_ = true;
  EndpointListChange change;
  change.from_ = core::StoreRevision(1, row.from_);
  change.to_ = core::StoreRevision(1, row.to_);
  change.rows_ = {leaving, Row("c")};
  change.removed_ = {core::InstanceId("a")};
  CHECK(table.ApplyChange(change, kStart) == row.applied_);
  std::vector<std::string> ids;
  for (const auto& known : table.Rows()) {
    ids.push_back(known.id_.value());
    const bool leaves = known.id_ == leaving.id_ && row.revision_ == row.to_;
    CHECK(known.leaving_ == leaves);
  }
  CHECK(ids == row.ids_);
  CHECK(table.revision() == row.revision_);
}

TEST_CASE("a full list removes rows that its sender never had", "[routing]") {
  // The reader has just started, so rows removed before its first read are in
  // none of its reads.
  const bool complete = GENERATE(true, false);
  EndpointTable table({.domain_ = core::FailureDomainId("near")}, 1);
  table.ApplyList({Row("a"), Row("b")}, core::StoreRevision(1, 5), true,
                  kStart);
  EndpointListChange change;
  change.to_ = core::StoreRevision(1, 9);
  change.rows_ = {Row("b")};
  change.full_ = true;
  change.complete_ = complete;
  CHECK(table.ApplyChange(change, kStart));
  CHECK(table.size() == (complete ? 1 : 2));
  change.to_ = core::StoreRevision(1, 10);
  CHECK(table.ApplyChange(change, kStart + 3s));
  CHECK(table.size() == 1);
}

TEST_CASE("a removed endpoint is not used, however its removal is published",
          "[routing]") {
  // Requests reached endpoints whose rows had been removed. The first list
  // without them was incomplete because leases might have lapsed, so they were
  // kept. The complete list after it had the same revision, or never reached a
  // process that relies on the reads of others.
  struct Case {
    std::string name_;
    /// Whether a complete list of the same revision, 9, follows the incomplete
    /// one.
    bool complete_follows_;
    core::Duration after_;
    bool used_;
  };
  const auto row =
      GENERATE(Case{"within the grace period", false, 2s, true},
               Case{"unchanged complete list follows", true, 1s, false},
               Case{"no further list", false, 2600ms, false});
  INFO(row.name_);
  auto table = Table({Row("a"), Row("b")});
  EndpointListChange change;
  change.to_ = core::StoreRevision(1, 9);
  change.rows_ = {Row("b")};
  change.full_ = true;
  change.complete_ = false;
  CHECK(table.ApplyChange(change, kStart));
  if (row.complete_follows_) {
    change.complete_ = true;
    CHECK(table.ApplyChange(change, kStart + 600ms));
  }
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool",
                              .engine_ = &engine,
                              .tried_ = {core::InstanceId("b")}};
  CHECK(Chosen(table, request, kStart + row.after_) == (row.used_ ? "a" : ""));
}

TEST_CASE(
    "an endpoint that an incomplete change kept is used although the complete "
    "one of the same revision removes it",
    "[routing]") {
  auto table = Table({Row("a"), Row("b")});
  EndpointListChange change;
  change.from_ = core::StoreRevision(1, 1);
  change.to_ = core::StoreRevision(1, 9);
  change.complete_ = false;
  CHECK(table.ApplyChange(change, kStart));
  CHECK(table.size() == 2);
  change.removed_ = {core::InstanceId("a")};
  change.complete_ = true;
  CHECK(table.ApplyChange(change, kStart + 600ms));
  CHECK(table.size() == 1);
}

TEST_CASE("older lists are ignored, missing rows have a grace period",
          "[routing]") {
  auto table = Table({Row("a"), Row("b")});
  SECTION("an older list is ignored") {
    table.ApplyList({Row("a")}, core::StoreRevision(1, 5), true, kStart);
    table.ApplyList({Row("a"), Row("b")}, core::StoreRevision(1, 4), true,
                    kStart);
    CHECK(table.size() == 1);
  }
  SECTION("a complete list removes at once") {
    table.ApplyList({Row("a")}, core::StoreRevision(1, 5), true, kStart);
    CHECK(table.size() == 1);
  }
  SECTION("after a store outage a missing row stays for the grace period") {
    table.ApplyList({Row("a")}, core::StoreRevision(1, 5), false, kStart);
    CHECK(table.size() == 2);
    table.ApplyList({Row("a")}, core::StoreRevision(1, 6), false, kStart + 2s);
    CHECK(table.size() == 2);
    table.ApplyList({Row("a")}, core::StoreRevision(1, 7), false, kStart + 3s);
    CHECK(table.size() == 1);
  }
  SECTION("a draining endpoint does not become available again") {
    auto leaving = Row("b");
    leaving.leaving_ = true;
    table.ApplyList({Row("a"), leaving}, core::StoreRevision(1, 5), true,
                    kStart);
    table.ApplyList({Row("a"), Row("b")}, core::StoreRevision(1, 6), true,
                    kStart);
    const auto engine = Engine();
    CHECK(Chosen(table,
                 {.service_ = "pool",
                  .engine_ = &engine,
                  .tried_ = {core::InstanceId("a")}},
                 kStart)
              .empty());
  }
}

core::StoreRevision Revision(std::uint64_t era, std::uint64_t number) {
  return core::StoreRevision(era, number);
}

TEST_CASE("a list of a store that returned is not taken for an older one",
          "[routing][era]") {
  struct Case {
    core::StoreRevision known_;
    core::StoreRevision list_;
    bool used_;
  };
  const auto row = GENERATE(Case{Revision(1, 9), Revision(1, 8), false},
                            Case{Revision(1, 9), Revision(1, 9), true},
                            Case{Revision(1, 9), Revision(2, 5), true},
                            Case{Revision(1, 9), Revision(2, 12), true},
                            Case{Revision(2, 5), Revision(1, 9), false},
                            Case{Revision(2, 5), Revision(3, 1), true},
                            Case{Revision(0, 9), Revision(1, 5), true},
                            Case{Revision(1, 5), Revision(0, 9), false});
  CAPTURE(row.known_.era_, row.known_.number_, row.list_.era_,
          row.list_.number_);
  EndpointTable table({.domain_ = core::FailureDomainId("near")}, 1);
  CHECK(table.ApplyList({Row("a")}, row.known_, true, kStart));
  CHECK(table.ApplyList({Row("b")}, row.list_, true, kStart) == row.used_);
  REQUIRE(table.size() == 1);
  CHECK(table.Rows().front().id_.value() == (row.used_ ? "b" : "a"));
  CHECK(table.store_revision() == (row.used_ ? row.list_ : row.known_));
}

TEST_CASE("a list that is not used does not make the known one look fresh",
          "[routing][era]") {
  struct Case {
    core::StoreRevision read_;
    bool confirms_;
  };
  // A list of the same era that is older is included in the known one.
  const auto row =
      GENERATE(Case{Revision(2, 9), true}, Case{Revision(2, 7), true},
               Case{Revision(2, 12), false}, Case{Revision(1, 9), false},
               Case{Revision(1, 20), false}, Case{Revision(3, 5), false});
  CAPTURE(row.read_.era_, row.read_.number_);
  EndpointTable table({.domain_ = core::FailureDomainId("near")}, 1);
  table.ApplyList({Row("a")}, Revision(2, 9), true, kStart);
  table.ConfirmAsOf(Revision(2, 9), kStart);
  table.ConfirmAsOf(row.read_, kStart + 1s);
  CHECK(table.as_of() == (row.confirms_ ? kStart + 1s : kStart));
}

TEST_CASE("a list of a newer era is not confirmed by reads of the older one",
          "[routing][era]") {
  EndpointTable table({.domain_ = core::FailureDomainId("near")}, 1);
  table.ApplyList({Row("a")}, Revision(1, 9), true, kStart);
  table.ConfirmAsOf(Revision(1, 9), kStart + 2s);
  table.ApplyList({Row("a")}, Revision(2, 5), true, kStart + 3s);
  table.ConfirmAsOf(Revision(2, 5), kStart + 1s);
  CHECK(table.as_of() == kStart + 1s);
}

TEST_CASE("a change is not applied to a list of another era",
          "[routing][era]") {
  struct Case {
    std::string name_;
    core::StoreRevision from_;
    core::StoreRevision to_;
    bool full_;
    /// False if the list must be fetched.
    bool done_;
    std::size_t endpoints_;
  };
  const auto row = GENERATE(
      Case{"same era", Revision(2, 3), Revision(2, 7), false, true, 2},
      Case{"older era", Revision(1, 3), Revision(1, 9), false, true, 1},
      Case{"newer era", Revision(3, 2), Revision(3, 4), false, false, 1},
      Case{"between two eras", Revision(2, 5), Revision(3, 7), false, false, 1},
      Case{"full list of a newer era", {}, Revision(3, 4), true, true, 2},
      Case{"full list of an older era", {}, Revision(1, 9), true, true, 1});
  CAPTURE(row.name_);
  EndpointTable table({.domain_ = core::FailureDomainId("near")}, 1);
  table.ApplyList({Row("a")}, Revision(2, 5), true, kStart);
  EndpointListChange change;
  change.from_ = row.from_;
  change.to_ = row.to_;
  change.full_ = row.full_;
  change.rows_ = {Row("a"), Row("b")};
  CHECK(table.ApplyChange(change, kStart) == row.done_);
  CHECK(table.size() == row.endpoints_);
}

TEST_CASE("an endpoint that left is not used because an older copy lists it",
          "[routing][era]") {
  struct Case {
    std::string name_;
    std::function<void(EndpointTable&)> leave_;
    /// Era of the list that has it again, and when that list is applied.
    std::uint64_t era_;
    core::Duration listed_after_;
    /// Time since then at which it is chosen.
    core::Duration after_;
    bool used_;
  };
  const auto drain = [](EndpointTable& table) {
    table.MarkLeaving({core::InstanceId("a"), std::nullopt});
  };
  const auto remove = [](EndpointTable& table) {
    table.ApplyList({Row("b")}, Revision(1, 9), true, kStart);
  };
  const auto drain_and_remove = [=](EndpointTable& table) {
    drain(table);
    remove(table);
  };
  const auto row = GENERATE_COPY(
      Case{"draining", drain, 2, 0ms, 0ms, false},
      Case{"draining, much later", drain, 2, 0ms, 60s, false},
      Case{"removed", remove, 2, 0ms, 0ms, false},
      Case{"removed, before its lease expires", remove, 2, 0ms, 4100ms, false},
      Case{"removed, its row was renewed", remove, 2, 0ms, 4200ms, true},
      Case{"removed, listed a while after the return", remove, 2, 2s, 2100ms,
           false},
      Case{"removed, listed later", remove, 2, 4200ms, 0ms, true},
      Case{"drained and removed", drain_and_remove, 2, 0ms, 4100ms, false},
      Case{"listed again without a return", remove, 1, 0ms, 0ms, true});
  CAPTURE(row.name_);
  EndpointTable table({.domain_ = core::FailureDomainId("near")}, 1);
  table.ApplyList({Row("a"), Row("b")}, Revision(1, 8), true, kStart);
  row.leave_(table);
  if (row.listed_after_ > 0ms) {
    table.ApplyList({Row("b")}, Revision(row.era_, 5), true, kStart);
  }
  const auto listed_at = kStart + row.listed_after_;
  table.ApplyList({Row("a"), Row("b")}, Revision(row.era_, 10), true,
                  listed_at);
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool",
                              .engine_ = &engine,
                              .tried_ = {core::InstanceId("b")}};
  CHECK(Chosen(table, request, listed_at + row.after_) ==
        (row.used_ ? "a" : ""));
  CHECK(table.AcceptsRequests({core::InstanceId("a"), std::nullopt},
                              listed_at + row.after_) == row.used_);
}

TEST_CASE("a return of the store does not make an earlier incarnation current",
          "[routing][era]") {
  const auto row = [](const std::string& id, std::uint64_t era,
                      std::uint64_t created) {
    auto created_row = Row(id);
    created_row.address_ = "shared:1";
    created_row.created_revision_ = Revision(era, created);
    return created_row;
  };
  EndpointTable table({.domain_ = core::FailureDomainId("near")}, 1);
  table.ApplyList({row("z", 1, 6), row("a", 1, 5)}, Revision(1, 9), true,
                  kStart);
  table.ApplyList({row("a", 2, 5), row("z", 2, 6)}, Revision(2, 7), true,
                  kStart);
  const auto engine = Engine();
  CHECK(Chosen(table, {.service_ = "pool", .engine_ = &engine}, kStart) == "z");
  table.ApplyList({row("a", 2, 5), row("new", 2, 8)}, Revision(2, 8), true,
                  kStart);
  CHECK(Chosen(table, {.service_ = "pool", .engine_ = &engine}, kStart) ==
        "new");
}

TEST_CASE("the wait for a free slot is predicted", "[routing]") {
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
  row.created_revision_ = core::StoreRevision(1, created);
  return row;
}

TEST_CASE("after a restart the new incarnation is chosen and gets the reports",
          "[routing]") {
  // After a simultaneous restart of all endpoints, their old rows stayed listed
  // for 3.6 s. They were chosen, so that requests were refused, and half of
  // the reports were attributed to them.
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

TEST_CASE("an announced incarnation is used before it is listed", "[routing]") {
  auto table = Table({RowAt("a", 3)});
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  table.ApplyAnnouncement(RowAt("b", 0), kStart);
  LoadReport report;
  report.weights_version_ = 1;
  table.ApplyReport("shared:1", report, kStart);
  CHECK(Chosen(table, request, kStart) == "b");
  table.ApplyList({RowAt("a", 3)}, core::StoreRevision(1, 2), true,
                  kStart + 1s);
  CHECK(Chosen(table, request, kStart + 1s) == "b");
  // Not listed within the grace period, it is removed and stays removed when
  // announced again.
  table.ApplyList({RowAt("a", 3)}, core::StoreRevision(1, 3), true,
                  kStart + 3s);
  CHECK(Chosen(table, request, kStart + 3s).empty());
  table.ApplyAnnouncement(RowAt("b", 0), kStart + 3s);
  CHECK(Chosen(table, request, kStart + 3s).empty());
}

TEST_CASE("an announced endpoint that a later list lacks gets no requests",
          "[routing]") {
  // It was published and withdrawn between two reads of the list.
  struct Case {
    std::string name_;
    /// Time from the announcement until the list was requested.
    core::Duration requested_after_;
    bool complete_;
    bool full_;
    bool listed_before_;
    bool used_;
  };
  const auto row = GENERATE(
      Case{"requested before it can be listed", 100ms, true, true, false, true},
      Case{"requested later", 400ms, true, true, false, false},
      Case{"leases may have lapsed", 400ms, false, true, false, true},
      Case{"change that does not contain it", 400ms, true, false, false, false},
      Case{"change, and leases may have lapsed", 400ms, false, false, false,
           true},
      Case{"change that does not contain it, but it is listed", 400ms, true,
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
    table.ApplyList({RowAt("a", 3), RowAt("b", 4)}, core::StoreRevision(1, 2),
                    true, kStart + 50ms, kStart);
  }
  EndpointListChange change;
  change.from_ = core::StoreRevision(1, 1);
  change.to_ = core::StoreRevision(1, 3);
  change.full_ = row.full_;
  change.complete_ = row.complete_;
  change.as_of_ = kStart + row.requested_after_;
  if (row.full_) {
    change.rows_ = {RowAt("a", 3)};
  }
  CHECK(table.ApplyChange(change, kStart + row.requested_after_ + 10ms));
  CHECK(Chosen(table, request, kStart + row.requested_after_ + 10ms) ==
        (row.used_ ? "b" : ""));
}

TEST_CASE("an announcement does not restore an endpoint removed from the list",
          "[routing]") {
  auto table = Table({RowAt("a", 3)});
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  table.ApplyList({}, core::StoreRevision(1, 2), true, kStart + 1s);
  table.ApplyAnnouncement(RowAt("a", 0), kStart + 1s);
  CHECK(Chosen(table, request, kStart + 1s).empty());
}

TEST_CASE("a response of another incarnation invalidates the old row",
          "[routing]") {
  auto table = Table({RowAt("a", 3)});
  const auto engine = Engine();
  const ChoiceRequest request{.service_ = "pool", .engine_ = &engine};
  table.MarkReplaced(core::InstanceId("a"), core::InstanceId("b"));
  CHECK(Chosen(table, request, kStart).empty());
  // Its lease lasts for seconds, so lists still contain it.
  table.ApplyList({RowAt("a", 3)}, core::StoreRevision(1, 2), true,
                  kStart + 1s);
  CHECK(Chosen(table, request, kStart + 1s).empty());
  table.ApplyList({RowAt("a", 3), RowAt("b", 8)}, core::StoreRevision(1, 3),
                  true, kStart + 1s);
  CHECK(Chosen(table, request, kStart + 1s) == "b");
}

}  // namespace
}  // namespace chalkwell::routing
