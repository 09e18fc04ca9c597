// Entries and agents whose store returns from an older copy: revisions go back
// and are given out again, and what was written since is missing until its
// writers write it again.
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>

#include "arrival_count.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

constexpr auto kEndpointsPrefix = "servers/";
constexpr auto kFirstKey = "servers/i-first";
/// Writes after the copy, which the store loses.
constexpr int kLostWrites = 12;
/// Responses of the store within which an entry has read and applied the list
/// twice: a list has two pages, and the first and last read may be incomplete.
constexpr int kListResponses = 8;
constexpr std::uint64_t kStartTimeMs = 1'764'720'000'000;

/// Writes that change nothing but the revision, of endpoints and operators.
void WriteUnrelated(Deployment& deployment, int count) {
  for (int i = 0; i < count; ++i) {
    deployment.store_.Put("servers/" + deployment.engine_.id(),
                          deployment.engine_.Row("pool", "z1"));
    deployment.store_.Put("op/other", nlohmann::json::object());
  }
}

void WaitForListReads(Deployment& deployment) {
  const auto until =
      deployment.store_.ResponsesWithValues(kEndpointsPrefix) + kListResponses;
  REQUIRE(Eventually([&] {
    return deployment.store_.ResponsesWithValues(kEndpointsPrefix) >= until;
  }));
}

void PutFirst(Deployment& deployment, const std::string& state) {
  deployment.store_.Put(kFirstKey, deployment.first_.Row("plain", "z1", state));
}

/// Checks that no request of an entry reaches an endpoint.
void CheckGetsNoRequests(const Node& entry, const ArrivalCount& arrivals) {
  const auto before = arrivals.count();
  for (int i = 0; i < kLaterRequests; ++i) {
    CHECK(Status(SendRequest(entry, RequestText("/safe/x"))) == "200");
  }
  CHECK(arrivals.count() == before);
}

/// An entry that reads the store, and one that receives lists from it only.
class Entries {
 public:
  explicit Entries(Deployment& deployment)
      : unused_(deployment.thread_),
        reader_(deployment.StartEntry("e1", deployment.store_.address())) {
    REQUIRE(Eventually([&] { return reader_.Ready(); }));
  }

  void StartReceiver(Deployment& deployment) {
    unused_.Put("servers/i-unused", deployment.first_.Row("plain", "z1"));
    NodeOptions options{&reader_, 2};
    options.first_read_wait_ms_ = 60'000;
    receiver_ = deployment.StartEntry("e2", unused_.address(), options);
    REQUIRE(Eventually([&] { return receiver_->Ready(); }));
  }
  [[nodiscard]] const Node& last() const {
    return receiver_ ? *receiver_ : reader_;
  }
  /// @brief Whether the receiver read no list itself.
  [[nodiscard]] bool OnlyReceived() const {
    return unused_.ResponsesWithValues(kEndpointsPrefix) == 0;
  }

 private:
  StoreStandin unused_;
  Node reader_;
  std::optional<Node> receiver_;
};

/// Restores a copy that misses kLostWrites, after the entries have applied
/// these.
/// @return the highest revision that the entries know.
std::uint64_t LoseWrites(Deployment& deployment) {
  WriteUnrelated(deployment, kLostWrites);
  WaitForListReads(deployment);
  const auto known = deployment.store_.revision();
  deployment.store_.RestoreCopy();
  return known;
}

TEST_CASE("an endpoint that leaves after the store was restored gets requests",
          "[platform][leaving][restored]") {
  struct Row {
    std::string name_;
    std::function<void(Deployment&)> leave_;
    bool received_ = false;
    int restorations_ = 1;
  };
  const auto drain = [](Deployment& deployment) {
    PutFirst(deployment, "draining");
  };
  const auto remove = [](Deployment& deployment) {
    deployment.store_.Remove(kFirstKey);
  };
  const auto row =
      GENERATE_COPY(Row{"drains, read", drain}, Row{"removed, read", remove},
                    Row{"drains, received", drain, true},
                    Row{"removed, received", remove, true},
                    Row{"drains after two returns, read", drain, false, 2},
                    Row{"drains after two returns, received", drain, true, 2});
  CAPTURE(row.name_);
  Deployment deployment;
  Entries entries(deployment);
  if (row.received_) {
    entries.StartReceiver(deployment);
  }
  const ArrivalCount arrivals(deployment.first_);
  SendUntilArrival(entries.last(), "/safe/x", arrivals);
  deployment.store_.SaveCopy();
  std::uint64_t known = 0;
  for (int i = 0; i < row.restorations_; ++i) {
    known = LoseWrites(deployment);
  }
  WaitForListReads(deployment);
  row.leave_(deployment);
  REQUIRE(deployment.store_.revision() < known);
  WaitForListReads(deployment);
  CheckGetsNoRequests(entries.last(), arrivals);
  CHECK(entries.OnlyReceived());
}

struct LostDeparture {
  std::string name_;
  std::uint64_t start_time_ms_ = 0;
  /// Whether the restored store passes the known revision again.
  bool passed_ = false;
  bool received_ = false;
};

/// The store loses a departure of the first endpoint.
/// @param leave writes it.
void LoseDeparture(Deployment& deployment, Entries& entries,
                   const LostDeparture& row, const ArrivalCount& arrivals,
                   const std::function<void()>& leave) {
  if (row.received_) {
    entries.StartReceiver(deployment);
  }
  SendUntilArrival(entries.last(), "/safe/x", arrivals);
  deployment.store_.SaveCopy();
  leave();
  const auto known = LoseWrites(deployment);
  if (row.passed_) {
    WriteUnrelated(deployment, kLostWrites + 2);
  }
  REQUIRE((deployment.store_.revision() > known) == row.passed_);
  WaitForListReads(deployment);
}

TEST_CASE("a restored row makes an endpoint that left available again",
          "[platform][leaving][restored]") {
  const auto row =
      GENERATE(LostDeparture{"revision below the known one"},
               LostDeparture{"revision passed", 0, true},
               LostDeparture{"start time, revision passed", kStartTimeMs, true},
               LostDeparture{"received, revision passed", 0, true, true});
  // Whether its row was removed as well, after it had stated the departure.
  const bool removed_too = GENERATE(false, true);
  CAPTURE(row.name_, removed_too);
  Deployment deployment;
  deployment.first_.SetStartTime(row.start_time_ms_);
  PutFirst(deployment, "ready");
  Entries entries(deployment);
  const ArrivalCount arrivals(deployment.first_);
  LoseDeparture(deployment, entries, row, arrivals, [&] {
    PutFirst(deployment, "draining");
    if (removed_too) {
      WaitForListReads(deployment);
      deployment.store_.Remove(kFirstKey);
    }
  });
  CheckGetsNoRequests(entries.last(), arrivals);
  PutFirst(deployment, "draining");
  WaitForListReads(deployment);
  CheckGetsNoRequests(entries.last(), arrivals);
  CHECK(entries.OnlyReceived());
}

TEST_CASE("an endpoint that was removed gets requests by its restored row",
          "[platform][leaving][restored]") {
  const auto row =
      GENERATE(LostDeparture{"revision below the known one"},
               LostDeparture{"revision passed", 0, true},
               LostDeparture{"start time, revision below", kStartTimeMs},
               LostDeparture{"start time, revision passed", kStartTimeMs, true},
               LostDeparture{"received, revision below", 0, false, true},
               LostDeparture{"received, revision passed", 0, true, true});
  CAPTURE(row.name_);
  Deployment deployment;
  deployment.first_.SetStartTime(row.start_time_ms_);
  PutFirst(deployment, "ready");
  Entries entries(deployment);
  const ArrivalCount arrivals(deployment.first_);
  LoseDeparture(deployment, entries, row, arrivals,
                [&] { deployment.store_.Remove(kFirstKey); });
  CheckGetsNoRequests(entries.last(), arrivals);
  deployment.store_.Remove(kFirstKey);
  WaitForListReads(deployment);
  CheckGetsNoRequests(entries.last(), arrivals);
  CHECK(entries.OnlyReceived());
}

TEST_CASE(
    "an endpoint gets no requests although it writes its row after the store "
    "was restored",
    "[platform][restored]") {
  const auto row =
      GENERATE(LostDeparture{"revision below the known one"},
               LostDeparture{"revision passed", 0, true},
               LostDeparture{"start time, revision below", kStartTimeMs},
               LostDeparture{"start time, revision passed", kStartTimeMs, true},
               LostDeparture{"received, revision below", 0, false, true});
  CAPTURE(row.name_);
  Deployment deployment;
  deployment.first_.SetStartTime(row.start_time_ms_);
  PutFirst(deployment, "ready");
  Entries entries(deployment);
  const ArrivalCount arrivals(deployment.first_);
  LoseDeparture(deployment, entries, row, arrivals,
                [&] { deployment.store_.Remove(kFirstKey); });
  auto written = deployment.first_.Row("plain", "z1");
  written["seq"] = 2;
  deployment.store_.Put(kFirstKey, written);
  const auto before = arrivals.count();
  CHECK(Eventually([&] {
    (void)SendRequest(entries.last(), RequestText("/safe/x"));
    return arrivals.count() > before;
  }));
}

/// What is written after the return, at a revision that the entries knew before
/// it.
struct Change {
  std::string name_;
  bool has_agent_ = false;
  std::function<void(Deployment&)> write_;
  std::function<bool(Deployment&, const Node&)> in_force_;
};

/// Whether the first endpoint gets none of a number of requests.
bool FirstIsUnused(Deployment& deployment, const Node& entry) {
  const auto before = deployment.first_.runs();
  for (int i = 0; i < kLaterRequests; ++i) {
    (void)SendRequest(entry, RequestText("/safe/x"));
  }
  return deployment.first_.runs() == before;
}

TEST_CASE("a change is missed at a revision that the store passed before",
          "[platform][restored]") {
  const auto row = GENERATE(
      Change{"rules", false,
             [](Deployment& deployment) { deployment.PutRules(2, {"k1"}); },
             [](Deployment&, const Node& entry) {
               return Status(SendRequest(
                          entry, RequestText("/safe/x", "k2"))) == "401";
             }},
      Change{"target version of weights", true,
             [](Deployment& deployment) {
               deployment.store_.Put("op/version/m",
                                     {{"model", "m"}, {"version", 2}});
             },
             [](Deployment& deployment, const Node&) {
               return deployment.engine_.version() == 2;
             }},
      Change{"evacuation", false,
             [](Deployment& deployment) {
               deployment.store_.Put("op/evacuate/z1",
                                     nlohmann::json::object());
             },
             FirstIsUnused},
      Change{"endpoint that leaves", false,
             [](Deployment& deployment) { PutFirst(deployment, "draining"); },
             FirstIsUnused});
  const bool seen_before = GENERATE(false, true);
  CAPTURE(row.name_, seen_before);
  Deployment deployment;
  deployment.store_.Put("servers/i-second",
                        deployment.second_.Row("plain", "z2"));
  Entries entries(deployment);
  std::optional<Node> agent;
  if (row.has_agent_) {
    agent = deployment.StartAgent("a1");
    REQUIRE(Eventually([&] { return deployment.engine_.version() == 1; }));
  }
  deployment.store_.SaveCopy();
  WriteUnrelated(deployment, kLostWrites);
  WaitForListReads(deployment);
  const auto known = deployment.store_.revision();
  if (seen_before) {
    // The calls of the entry get the new era first, at lower revisions.
    deployment.store_.RestoreCopy();
    WaitForListReads(deployment);
    row.write_(deployment);
    REQUIRE(deployment.store_.revision() < known);
  } else {
    deployment.store_.RestoreCopyUnseen([&] {
      row.write_(deployment);
      WriteUnrelated(deployment, kLostWrites + 1);
    });
    REQUIRE(deployment.store_.revision() > known);
  }
  CHECK(Eventually([&] { return row.in_force_(deployment, entries.last()); }));
}

TEST_CASE("an evacuation stays in force that the restored store withdraws",
          "[platform][restored]") {
  Deployment deployment;
  deployment.store_.Put("servers/i-second",
                        deployment.second_.Row("plain", "z2"));
  Entries entries(deployment);
  deployment.store_.SaveCopy();
  WriteUnrelated(deployment, kLostWrites);
  deployment.store_.Put("op/evacuate/z1", nlohmann::json::object());
  REQUIRE(
      Eventually([&] { return FirstIsUnused(deployment, entries.last()); }));
  const auto known = deployment.store_.revision();
  deployment.store_.RestoreCopy();
  deployment.store_.Put("op/evacuate/z1", nlohmann::json::object());
  WaitForListReads(deployment);
  deployment.store_.Remove("op/evacuate/z1");
  REQUIRE(deployment.store_.revision() < known);
  CHECK(Eventually([&] { return !FirstIsUnused(deployment, entries.last()); }));
}

TEST_CASE("an older copy of the store brings back older rules or weights",
          "[platform][restored]") {
  Deployment deployment;
  Entries entries(deployment);
  const auto agent = deployment.StartAgent("a1");
  REQUIRE(Eventually([&] { return deployment.engine_.version() == 1; }));
  deployment.store_.SaveCopy();
  deployment.PutRules(2, {"k1"});
  deployment.store_.Put("op/version/m", {{"model", "m"}, {"version", 2}});
  REQUIRE(Eventually([&] { return deployment.engine_.version() == 2; }));
  const auto orders = deployment.engine_.orders();
  const auto refused = [&] {
    return Status(SendRequest(entries.last(), RequestText("/safe/x", "k2"))) ==
           "401";
  };
  REQUIRE(Eventually(refused));
  const auto known = LoseWrites(deployment);
  WaitForListReads(deployment);
  CHECK(refused());
  WriteUnrelated(deployment, kLostWrites * 2);
  REQUIRE(deployment.store_.revision() > known);
  WaitForListReads(deployment);
  CHECK(refused());
  CHECK(deployment.engine_.version() == 2);
  CHECK(deployment.engine_.orders() == orders);
}

}  // namespace
}  // namespace chalkwell::platform_tests
