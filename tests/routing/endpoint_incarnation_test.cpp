// Tests that the state of an endpoint belongs to one incarnation and is reset
// when the endpoint restarts under the same id.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <functional>

#include "chalkwell/membership/message_order.hpp"
#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);
const core::InstanceId kId("a");
const std::string kAddress = "10.0.0.1:80";

core::StartTime At(std::int64_t ms) {
  return core::StartTime(std::chrono::milliseconds(ms));
}

EndpointRow RowOf(std::int64_t started, std::uint64_t version = 1) {
  EndpointRow row;
  row.id_ = kId;
  row.service_ = "pool";
  row.address_ = kAddress;
  row.slots_ = 4;
  row.created_revision_ = core::StoreRevision(1, 3);
  row.started_ = At(started);
  if (version > 0) {
    row.weights_version_ = version;
  }
  return row;
}

LoadReport ReportOf(std::int64_t started, std::uint64_t version = 1) {
  LoadReport report;
  report.started_ = At(started);
  if (version > 0) {
    report.weights_version_ = version;
  }
  return report;
}

/// A table with one engine in its first incarnation.
class SingleEngineTable {
 public:
  SingleEngineTable() : table_({}, 1) { List({RowOf(1000)}, 1); }

  void List(std::vector<EndpointRow> rows, std::uint64_t revision) {
    table_.ApplyList(std::move(rows), core::StoreRevision(1, revision), true,
                     kStart);
  }
  [[nodiscard]] bool Chosen(std::optional<std::uint64_t> version = {}) {
    ChoiceRequest request;
    request.service_ = "pool";
    request.engine_ = &profile_;
    request.weights_version_ = version;
    request.version_constraint_.next_min_at_ = kStart + 1h;
    return table_.Choose(request, kStart + 1s).has_value();
  }

  config::EngineProfile profile_;
  EndpointTable table_;
};

TEST_CASE("a new incarnation inherits no state of the previous one",
          "[routing]") {
  struct Case {
    std::string name_;
    std::function<void(SingleEngineTable&)> act_;
    bool chosen_;
  };
  const auto row = GENERATE(
      Case{"was draining, row of another incarnation",
           [](auto& engines) {
             engines.table_.MarkLeaving({kId, At(1000)});
             engines.List({RowOf(2000)}, 2);
           },
           true},
      Case{"was draining, report of another incarnation",
           [](auto& engines) {
             engines.table_.MarkLeaving({kId, At(1000)});
             engines.table_.ApplyReport(kAddress, ReportOf(2000), kStart);
           },
           true},
      Case{"was draining, same incarnation listed as ready",
           [](auto& engines) {
             engines.table_.MarkLeaving({kId, At(1000)});
             engines.List({RowOf(1000)}, 2);
           },
           false},
      Case{"late notice that the previous incarnation is draining",
           [](auto& engines) {
             engines.List({RowOf(2000)}, 2);
             engines.table_.MarkLeaving({kId, At(1000)});
           },
           true},
      Case{"late notice that the previous incarnation terminated",
           [](auto& engines) {
             engines.List({RowOf(2000)}, 2);
             engines.table_.MarkTerminated({kId, At(1000)});
           },
           true},
      Case{"no weights until it reports them",
           [](auto& engines) {
             engines.table_.ApplyReport(kAddress, ReportOf(1000), kStart);
             engines.List({RowOf(2000, 0)}, 2);
           },
           false},
      Case{"row of an intermediate incarnation after the newest report",
           [](auto& engines) {
             engines.table_.ApplyReport(kAddress, ReportOf(3000), kStart);
             engines.List({RowOf(2000, 0)}, 2);
             engines.table_.ApplyReport(kAddress, ReportOf(3000), kStart + 1ms);
             engines.List({RowOf(2000, 0)}, 3);
           },
           true},
      Case{"row of the previous incarnation after the newest report",
           [](auto& engines) {
             engines.table_.ApplyReport(kAddress, ReportOf(2000, 0), kStart);
             engines.List({RowOf(1000)}, 2);
           },
           false},
      Case{"was loading weights in its previous incarnation",
           [](auto& engines) {
             auto report = ReportOf(1000);
             report.accepting_ = false;
             engines.table_.ApplyReport(kAddress, report, kStart);
             engines.List({RowOf(2000)}, 2);
           },
           true},
      Case{"announced after the previous incarnation left the list",
           [](auto& engines) {
             engines.List({}, 2);
             engines.table_.ApplyAnnouncement(RowOf(2000), kStart);
           },
           true},
      Case{"announced after the same incarnation left the list",
           [](auto& engines) {
             engines.List({}, 2);
             engines.table_.ApplyAnnouncement(RowOf(1000), kStart);
           },
           false});
  CAPTURE(row.name_);
  SingleEngineTable engines;
  CHECK(engines.Chosen());
  row.act_(engines);
  CHECK(engines.Chosen() == row.chosen_);
}

TEST_CASE("a draining endpoint stays draining whatever messages arrive",
          "[routing]") {
  // An incarnation announced that it is draining. A delayed report of the
  // previous incarnation replaced it, and the next report restored it without
  // the mark. Only recently changed rows are published, so the mark was lost
  // permanently.
  using Message = std::function<void(EndpointTable&)>;
  const Message late_report = [](EndpointTable& table) {
    table.ApplyReport(kAddress, ReportOf(1000), kStart + 10ms);
  };
  const Message late_announcement = [](EndpointTable& table) {
    table.ApplyAnnouncementAt(kAddress, {kId, At(1000)}, kStart + 10ms);
  };
  const Message report = [](EndpointTable& table) {
    table.ApplyReport(kAddress, ReportOf(2000), kStart + 20ms);
  };
  const Message announcement = [](EndpointTable& table) {
    table.ApplyAnnouncementAt(kAddress, {kId, At(2000)}, kStart + 20ms);
  };
  const auto marked_by_row = GENERATE(true, false);
  const auto before = GENERATE_COPY(late_report, late_announcement);
  const auto after = GENERATE_COPY(report, announcement);
  SingleEngineTable engines;
  auto row = RowOf(2000);
  row.leaving_ = marked_by_row;
  engines.List({row}, 2);
  if (!marked_by_row) {
    engines.table_.MarkLeaving({kId, At(2000)});
  }
  CHECK_FALSE(engines.Chosen());
  before(engines.table_);
  after(engines.table_);
  engines.table_.ApplyReport(kAddress, ReportOf(2000), kStart + 30ms);
  CHECK_FALSE(engines.Chosen());
  engines.List({RowOf(3000)}, 3);
  CHECK(engines.Chosen());
}

TEST_CASE("a leaving endpoint is used again when its row returns",
          "[routing][incarnation]") {
  // Rows lapse while the store is down, and return with an older state.
  SingleEngineTable engines;
  engines.table_.MarkLeaving({kId, At(1000)});
  engines.List({}, 2);
  engines.List({RowOf(1000)}, 3);
  CHECK_FALSE(engines.Chosen());
  engines.List({RowOf(2000)}, 4);
  CHECK(engines.Chosen());
}

TEST_CASE("requests to an earlier incarnation do not affect the current one",
          "[routing]") {
  SingleEngineTable engines;
  auto& table = engines.table_;
  table.OnSent(kId, 100, kStart);
  table.OnSent(kId, 100, kStart + 1ms);
  engines.List({RowOf(2000)}, 2);
  table.OnSent(kId, 100, kStart + 2ms);
  table.OnEnded(kId, 100, kStart, false, EndpointOutcome::kFailed,
                kStart + 10ms);
  table.OnFirstByte(kId, 100, kStart + 1ms, 0ms, kStart + 10ms);
  ChoiceRequest request;
  request.service_ = "pool";
  request.max_in_flight_ = 1;
  CHECK_FALSE(table.Choose(request, kStart + 20ms));
  table.OnEnded(kId, 100, kStart + 2ms, false, EndpointOutcome::kAnswered,
                kStart + 30ms);
  CHECK(table.Choose(request, kStart + 30ms));
}

/// Events of one engine and messages about it, in any order.
enum class Step : std::uint8_t {
  kRestart,
  kRestartSteppedBack,
  kLoadWeights,
  kLeave,
  kWriteRow,
  kReadList,
  kReport,
};

TEST_CASE("the current incarnation is used once all messages have arrived",
          "[routing]") {
  rc::prop("any order of restarts, rows, reports and delayed reports", [] {
    const auto steps = *rc::gen::container<std::vector<Step>>(
        rc::gen::map(rc::gen::inRange(0, 7),
                     [](int step) { return static_cast<Step>(step); }));
    SingleEngineTable engines;
    EndpointRow current = RowOf(1000);
    EndpointRow written = current;
    // In the order sent; they arrive in any order.
    std::vector<LoadReport> reports{ReportOf(1000)};
    membership::MessageOrder order;
    std::uint64_t revision = 1;
    std::int64_t newest = 1000;
    std::int64_t oldest = 1000;
    auto now = kStart;
    const auto restart = [&](std::int64_t started) {
      current = RowOf(started, 0);
      reports.push_back(ReportOf(started, 0));
    };
    for (const auto step : steps) {
      now += 1ms;
      switch (step) {
        case Step::kRestart:
          restart(newest += 10);
          break;
        case Step::kRestartSteppedBack:
          restart(oldest -= 10);
          break;
        case Step::kLoadWeights:
          current.weights_version_ = 2;
          reports.push_back(
              ReportOf(current.started_->time_since_epoch().count(), 2));
          break;
        case Step::kLeave:
          current.leaving_ = true;
          break;
        case Step::kWriteRow:
          written = current;
          ++revision;
          break;
        case Step::kReadList:
          engines.table_.ApplyList({written}, core::StoreRevision(1, revision),
                                   true, now);
          break;
        case Step::kReport: {
          reports.push_back(reports.back());
          const auto sent = *rc::gen::inRange<std::size_t>(0, reports.size());
          if (!order.RecordAndCheckReordered(std::chrono::milliseconds(sent))) {
            engines.table_.ApplyReport(kAddress, reports[sent], now);
          }
          break;
        }
      }
    }
    // The latest report arrives, then the latest row.
    now += 1ms;
    const std::chrono::milliseconds sent(reports.size() - 1);
    RC_ASSERT(!order.RecordAndCheckReordered(sent));
    engines.table_.ApplyReport(kAddress, reports.back(), now);
    engines.table_.ApplyList({current}, core::StoreRevision(1, ++revision),
                             true, now);
    const bool serves = current.weights_version_ && !current.leaving_;
    RC_ASSERT(engines.Chosen() == serves);
    if (serves) {
      RC_ASSERT(engines.Chosen(current.weights_version_));
    }
  });
}

}  // namespace
}  // namespace chalkwell::routing
