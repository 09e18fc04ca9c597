// End-to-end tests of the adapter to the external platform: real entries and
// agents with fakes of its store, endpoints and weights origin.
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <thread>

#include "../daemon/raw_socket.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using daemon::RawSocket;
using standins::Behaviour;
using namespace std::chrono_literals;

/// Far longer than a planned stop takes.
constexpr auto kStopTimeout = 20s;

TEST_CASE(
    "requests are routed by the rules, with the headers endpoints require",
    "[platform]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  struct Row {
    std::string path_;
    std::string key_;
    std::string status_;
  };
  for (const auto& row :
       {Row{"/safe/x?q=1", "k1", "200"}, Row{"/open/x", "none", "200"},
        Row{"/safe/x", "none", "401"}, Row{"/none/x", "k1", "404"},
        Row{"/once/x", "k2", "200"}}) {
    CAPTURE(row.path_, row.key_);
    CHECK(Status(SendRequest(entry, RequestText(row.path_, row.key_))) ==
          row.status_);
  }
  auto requests = deployment.first_.requests();
  for (auto& request : deployment.second_.requests()) {
    requests.push_back(std::move(request));
  }
  REQUIRE(requests.size() == 3);
  for (const auto& request : requests) {
    const auto header = [&](std::string_view name) {
      return std::string(daemon::FindHeader(request.headers_, name));
    };
    CHECK(request.method_ == "POST");
    CHECK(request.body_ == "body");
    CHECK(header("attempt-id") == "a1");
    CHECK(header("authorization").empty());
    CHECK(header("tenant") == (request.path_ == "/open/x" ? "" : "acct"));
    CHECK(std::stoi(header("deadline-ms")) <= 3000);
    CHECK(header("expect-instance").starts_with("i-"));
  }
}

TEST_CASE("what callers get when an endpoint does not serve", "[platform]") {
  struct Row {
    std::string path_;
    Behaviour behaviour_;
    std::string status_;
    /// Total of both endpoints.
    int runs_;
  };
  const auto row =
      GENERATE(Row{"/safe/x", Behaviour::kShed, "503", 0},
               Row{"/once/x", Behaviour::kShed, "503", 0},
               Row{"/safe/x", Behaviour::kReset, "502", 2},
               Row{"/once/x", Behaviour::kReset, "502", 1},
               Row{"/safe/x", Behaviour::kFail, "500", 2},
               Row{"/once/x", Behaviour::kFail, "500", 1},
               Row{"/once/x", Behaviour::kUnsigned, "502", 1},
               Row{"/once/x", Behaviour::kWrongAttemptId, "504", 1});
  CAPTURE(row.path_, static_cast<int>(row.behaviour_));
  Deployment deployment;
  deployment.first_.SetBehaviour(row.behaviour_);
  deployment.second_.SetBehaviour(row.behaviour_);
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto response = SendRequest(entry, RequestText(row.path_));
  CHECK(Status(response) == row.status_);
  CHECK(deployment.first_.runs() + deployment.second_.runs() == row.runs_);
  const bool has_retry_after =
      response.find("retry-after") != std::string::npos;
  CHECK(has_retry_after == (row.status_ == "503"));
}

TEST_CASE("a repeatable request is retried at another endpoint", "[platform]") {
  const auto behaviour = GENERATE(Behaviour::kShed, Behaviour::kReset,
                                  Behaviour::kFail, Behaviour::kUnsigned);
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.first_.SetBehaviour(behaviour);
  for (int i = 0; i < 6; ++i) {
    CHECK(Status(SendRequest(entry, RequestText("/safe/x"))) == "200");
  }
}

TEST_CASE(
    "a new incarnation at a known address runs no request for the old one",
    "[platform]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.first_.SetId("i-reborn");
  for (int i = 0; i < 4; ++i) {
    CHECK(Status(SendRequest(entry, RequestText("/once/x"))) == "200");
  }
  CHECK(deployment.first_.runs() == 0);
}

TEST_CASE("a truncated stream is resumed after its last complete event",
          "[platform]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.first_.SetBehaviour(Behaviour::kTruncateStream);
  deployment.second_.SetBehaviour(Behaviour::kTruncateStream);
  // The endpoint of the second attempt serves the remaining events.
  std::thread switch_behaviour([&] {
    (void)Eventually([&] {
      return deployment.first_.runs() + deployment.second_.runs() > 0;
    });
    auto& other =
        deployment.first_.runs() > 0 ? deployment.second_ : deployment.first_;
    other.SetBehaviour(Behaviour::kServe);
  });
  const auto response = SendRequest(entry, RequestText("/stream/x"));
  switch_behaviour.join();
  CHECK(Status(response) == "200");
  std::size_t at = 0;
  for (int id = 1; id <= 6; ++id) {
    const auto text = "id: " + std::to_string(id) + "\ndata: token-" +
                      std::to_string(id) + "\n\n";
    const auto found = response.find(text, at);
    REQUIRE(found != std::string::npos);
    at = found + 1;
    CHECK(response.find(text, at) == std::string::npos);
  }
  CHECK(response.ends_with("0\r\n\r\n"));
}

TEST_CASE("a caller's disconnect cancels its request at the endpoint",
          "[platform]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.first_.SetBehaviour(Behaviour::kHang);
  deployment.second_.SetBehaviour(Behaviour::kHang);
  {
    const RawSocket caller(entry.caller_port_);
    caller.Send(RequestText("/once/x"));
    REQUIRE(Eventually([&] {
      return deployment.first_.runs() + deployment.second_.runs() == 1;
    }));
  }
  CHECK(Eventually([&] {
    return deployment.first_.cancelled() + deployment.second_.cancelled() == 1;
  }));
}

TEST_CASE("new rules take effect, also after the store compacted its history",
          "[platform]") {
  const bool compact_history = GENERATE(false, true);
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  CHECK(Status(SendRequest(entry, RequestText("/safe/x", "k2"))) == "200");
  if (compact_history) {
    deployment.store_.CompactHistory();
  }
  deployment.PutRules(9, {"k1"});
  CHECK(Eventually([&] {
    return Status(SendRequest(entry, RequestText("/safe/x", "k2"))) == "401";
  }));
  CHECK(Status(SendRequest(entry, RequestText("/safe/x", "k1"))) == "200");
}

TEST_CASE("draining and removed endpoints get no more requests", "[platform]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.store_.Put("servers/i-first",
                        deployment.first_.Row("plain", "z1", "draining"));
  deployment.store_.Remove("servers/i-second");
  CHECK(Eventually([&] {
    return Status(SendRequest(entry, RequestText("/safe/x"))) == "503";
  }));
}

TEST_CASE("an entry without access to the store gets rules from another entry",
          "[platform]") {
  Deployment deployment;
  StoreStandin unavailable_store(deployment.thread_);
  unavailable_store.SetBusy(true);
  const auto first = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return first.Ready(); }));
  const auto second =
      deployment.StartEntry("e2", unavailable_store.address(), &first);
  REQUIRE(Eventually([&] { return second.Ready(); }));
  CHECK(Status(SendRequest(second, RequestText("/safe/x", "k2"))) == "200");
  deployment.PutRules(9, {"k1"});
  CHECK(Eventually([&] {
    return Status(SendRequest(second, RequestText("/safe/x", "k2"))) == "401";
  }));
  CHECK(Status(SendRequest(second, RequestText("/safe/x", "k1"))) == "200");
}

TEST_CASE("request limits are those of the active rules", "[platform]") {
  struct Row {
    std::string name_;
    std::string fill_header_;
    std::size_t body_size_ = 0;
    std::string status_before_;
    std::string status_after_;
  };
  const auto row =
      GENERATE(Row{"large headers", std::string(2000, 'h'), 4, "200", "431"},
               Row{"a large body", "h", 600, "200", "413"},
               Row{"small headers and body", "h", 4, "200", "200"});
  CAPTURE(row.name_);
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto text =
      "POST /open/x HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\n"
      "connection: close\r\nx-fill: " +
      row.fill_header_ +
      "\r\ncontent-length: " + std::to_string(row.body_size_) + "\r\n\r\n" +
      std::string(row.body_size_, 'b');
  CHECK(Status(SendRequest(entry, text)) == row.status_before_);
  deployment.limits_ = {
      .header_bytes_ = 1000, .body_bytes_ = 500, .header_timeout_ms_ = 300};
  deployment.PutRules(2, {"k1"});
  REQUIRE(Eventually([&] {
    return Status(SendRequest(entry, RequestText("/safe/x", "k2"))) == "401";
  }));
  CHECK(Status(SendRequest(entry, text)) == row.status_after_);
  // An incomplete request gets 408 at the header timeout.
  const RawSocket slow(entry.caller_port_);
  slow.Send("POST /open/x HTTP/1.1\r\nhost: h\r\n");
  CHECK(Status(slow.ReadUntil()) == "408");
}

TEST_CASE("a reload applies valid settings and rejects invalid ones",
          "[platform]") {
  struct Row {
    std::string appended_text_;
    std::string expected_taken_;
  };
  const auto row = GENERATE(Row{"\n[mesh]\ninterval_ms = 900\n", "yes"},
                            Row{"\n[mesh]\ninterval_ms = soon\n", "no"});
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  std::ofstream(deployment.folder_ / "e1.ini", std::ios::app)
      << row.appended_text_;
  entry.child_.Signal(SIGHUP);
  entry.child_.Signal(SIGHUP);
  CHECK(Eventually([&] {
    return deployment.Log("e1").find("taken=\"" + row.expected_taken_) !=
           std::string::npos;
  }));
  CHECK(Status(SendRequest(entry, RequestText("/safe/x"))) == "200");
}

TEST_CASE("an entry restarted without the store serves by a peer's documents",
          "[platform]") {
  // Without a peer it is not ready, and responds 503 with a time to retry.
  Deployment deployment;
  const auto first = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return first.Ready(); }));
  StoreStandin unavailable_store(deployment.thread_);
  unavailable_store.SetBusy(true);
  auto isolated = deployment.StartEntry("e2", unavailable_store.address());
  REQUIRE(Eventually([&] {
    return Status(SendRequest(isolated, RequestText("/safe/x"))) == "503";
  }));
  CHECK_FALSE(isolated.Ready());
  CHECK(SendRequest(isolated, RequestText("/safe/x")).find("retry-after") !=
        std::string::npos);
  isolated.child_.Kill();
  const auto restarted =
      deployment.StartEntry("e3", unavailable_store.address(), &first);
  CHECK(Eventually([&] { return restarted.Ready(); }));
  CHECK(Status(SendRequest(restarted, RequestText("/safe/x"))) == "200");
}

TEST_CASE("new rules reach an entry whose watch of the store never responds",
          "[platform]") {
  // The second entry can read the store, but its watch gets no response: it
  // learns of the new rules from the first entry.
  Deployment deployment;
  StoreStandin silent_store(deployment.thread_);
  silent_store.SetWatchesSilent();
  deployment.PutRules(silent_store, 1, {"k1", "k2"});
  deployment.PutRows(silent_store);
  const auto first = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return first.Ready(); }));
  const auto second =
      deployment.StartEntry("e2", silent_store.address(), &first);
  REQUIRE(Eventually([&] { return second.Ready(); }));
  CHECK(Status(SendRequest(second, RequestText("/safe/x", "k2"))) == "200");
  deployment.PutRules(silent_store, 2, {"k1"});
  deployment.PutRules(2, {"k1"});
  CHECK(Eventually([&] {
    return Status(SendRequest(second, RequestText("/safe/x", "k2"))) == "401";
  }));
}

TEST_CASE("new rules wait for a watch that went silent with other connections",
          "[platform]") {
  Deployment deployment;
  deployment.store_.SetLongWatchesSilent(500ms);
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.PutRules(9, {"k9"});
  // Longer than an entry waits for a page of the endpoint list.
  deployment.store_.SetDelay(1s);
  REQUIRE(Eventually([&] {
    return deployment.Log("e1").find("platform-unreachable") !=
           std::string::npos;
  }));
  deployment.store_.SetDelay(0ms);
  CHECK(Eventually([&] {
    return Status(SendRequest(entry, RequestText("/safe/x", "k9"))) == "200";
  }));
}

TEST_CASE("one entry of a failure domain reads the endpoint list for the other",
          "[platform]") {
  Deployment deployment;
  const auto first = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return first.Ready(); }));
  const auto second =
      deployment.StartEntry("e2", deployment.store_.address(), &first);
  REQUIRE(Eventually([&] { return second.Ready(); }));
  int rows = 0;
  CHECK(Eventually([&] {
    // Adds a row each time: the entry that should receive the list may have
    // read the previous one itself.
    deployment.store_.Put("servers/i-added" + std::to_string(++rows),
                          deployment.first_.Row("plain", "z1"));
    std::this_thread::sleep_for(50ms);
    return deployment.Log("e1").find("source=\"e2\"") != std::string::npos ||
           deployment.Log("e2").find("source=\"e1\"") != std::string::npos;
  }));
}

TEST_CASE("a planned stop serves a request on an open connection, then exits",
          "[platform]") {
  Deployment deployment;
  auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const RawSocket connection(entry.caller_port_);
  entry.child_.Signal(SIGTERM);
  REQUIRE(Eventually([&] { return !entry.Ready(); }));
  connection.Send(
      "POST /safe/x HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\nauthorization: "
      "Bearer k1\r\ncontent-length: 0\r\n\r\n");
  const auto response = connection.ReadUntil();
  CHECK(Status(response) == "200");
  CHECK(response.find("connection: close") != std::string::npos);
  CHECK(entry.child_.Wait(kStopTimeout) == 0);
}

TEST_CASE("an agent brings its engine to the newest weights, whole",
          "[platform]") {
  Deployment deployment;
  const bool corrupt = GENERATE(false, true);
  if (corrupt) {
    deployment.origin_.CorruptNext();
  }
  const auto agent = deployment.StartAgent("a1");
  REQUIRE(Eventually([&] { return deployment.engine_.version() == 1; }));
  deployment.store_.Put("op/version/m", {{"model", "m"}, {"version", 2}});
  REQUIRE(Eventually([&] { return deployment.engine_.version() == 2; }));
  const auto staged = deployment.engine_.staged();
  REQUIRE(staged.size() == kChunkCount);
  for (std::size_t chunk = 0; chunk < kChunkCount; ++chunk) {
    CHECK(staged.at(chunk) == OriginStandin::Chunk(2, chunk));
  }
  CHECK(deployment.origin_.chunks_served() ==
        static_cast<int>(2 * kChunkCount) + (corrupt ? 1 : 0));
}

TEST_CASE("an engine that starts while the origin is down serves older weights",
          "[platform]") {
  Deployment deployment;
  standins::EndpointStandin second{deployment.thread_, "i-engine-2"};
  const auto first_address = deployment.engine_.address();
  const auto second_address = second.address();
  deployment.engine_.SetAdvertisedAddress("127.0.0.2:7001");
  second.SetAdvertisedAddress("127.0.0.3:7001");
  deployment.PutRows();
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto first_agent =
      deployment.StartAgent("a1", {&entry, 2, first_address});
  REQUIRE(Eventually([&] { return deployment.engine_.version() == 1; }));
  // The first engine has staged some chunks of the target version and the rest
  // of the older one.
  constexpr int kFetchedChunks = 2;
  deployment.origin_.GoDownAfter(kFetchedChunks);
  deployment.store_.Put("op/version/m", {{"model", "m"}, {"version", 2}});
  REQUIRE(Eventually([&] {
    const auto staged = deployment.engine_.staged();
    return std::ranges::count_if(staged, [](const auto& chunk) {
             return chunk.second == OriginStandin::Chunk(2, chunk.first);
           }) == kFetchedChunks;
  }));
  deployment.store_.Put("servers/" + second.id(), second.Row("pool", "z1"));
  const auto second_agent =
      deployment.StartAgent("a2", {&entry, 3, second_address});
  REQUIRE(Eventually([&] { return second.version() == 1; }));
  for (const auto& [chunk, bytes] : second.staged()) {
    CHECK(bytes == OriginStandin::Chunk(1, chunk));
  }
  deployment.origin_.SetDown(false);
  CHECK(Eventually([&] {
    return second.version() == 2 && deployment.engine_.version() == 2;
  }));
}

TEST_CASE("an agent restarted beside a serving engine sends it no order",
          "[platform]") {
  // After a restart of all processes, agents queried their engines before they
  // knew the model, treated them as empty and ordered the version that they
  // already served, which kept the engines from requests for 7 s.
  Deployment deployment;
  deployment.engine_.SetVersion(2);
  deployment.store_.Put("op/version/m", {{"model", "m"}, {"version", 2}});
  deployment.store_.SetBusy(true);
  const auto agent = deployment.StartAgent("a1");
  REQUIRE(Eventually([&] { return deployment.engine_.report_queries() >= 5; }));
  deployment.store_.SetBusy(false);
  REQUIRE(Eventually([&] {
    const auto log = deployment.Log("a1");
    return log.find("weights-named") != std::string::npos &&
           log.find("restarted") != std::string::npos;
  }));
  const auto reports = deployment.engine_.report_queries();
  REQUIRE(Eventually(
      [&] { return deployment.engine_.report_queries() >= reports + 20; }));
  CHECK(deployment.engine_.orders() == 0);
  CHECK(deployment.Log("a1").find("fetch-started") == std::string::npos);
}

TEST_CASE("an engine that already has the target version gets requests at once",
          "[platform]") {
  // The engine loads the version by other means while its agent fetches it.
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.origin_.SetDown(true);
  const auto agent = deployment.StartAgent("a1");
  REQUIRE(Eventually([&] {
    return deployment.Log("a1").find("fetch-started") != std::string::npos;
  }));
  deployment.engine_.SetVersion(1);
  deployment.PutRows();
  CHECK(Eventually([&] {
    return Status(SendRequest(entry, RequestText("/model/x"))) == "200";
  }));
  deployment.origin_.SetDown(false);
  const auto reports = deployment.engine_.report_queries();
  REQUIRE(Eventually(
      [&] { return deployment.engine_.report_queries() >= reports + 20; }));
  CHECK(deployment.engine_.orders() == 0);
  CHECK(Status(SendRequest(entry, RequestText("/model/x"))) == "200");
}

TEST_CASE("requests for a model get 503 until an engine has its weights",
          "[platform]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  CHECK(Status(SendRequest(entry, RequestText("/model/x"))) == "503");
  const auto agent = deployment.StartAgent("a1");
  REQUIRE(Eventually([&] { return deployment.engine_.version() == 1; }));
  deployment.PutRows();
  CHECK(Eventually([&] {
    return Status(SendRequest(entry, RequestText("/model/x"))) == "200";
  }));
}

}  // namespace
}  // namespace chalkwell::platform_tests
