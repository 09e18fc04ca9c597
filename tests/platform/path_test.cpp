// The whole path on the users' platform: real entries and agents against
// stand-ins of its store, endpoints and source of weights.
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
constexpr auto kPatience = 20s;

TEST_CASE("requests go where the rules say, with what endpoints must see",
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
    CHECK(Status(Ask(entry, RequestText(row.path_, row.key_))) == row.status_);
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
    /// Runs at both endpoints together.
    int runs_;
  };
  const auto row = GENERATE(Row{"/safe/x", Behaviour::kShed, "503", 0},
                            Row{"/once/x", Behaviour::kShed, "503", 0},
                            Row{"/safe/x", Behaviour::kLose, "502", 2},
                            Row{"/once/x", Behaviour::kLose, "502", 1},
                            Row{"/safe/x", Behaviour::kFail, "500", 2},
                            Row{"/once/x", Behaviour::kFail, "500", 1},
                            Row{"/once/x", Behaviour::kUnsigned, "502", 1},
                            Row{"/once/x", Behaviour::kLateAnswer, "504", 1});
  CAPTURE(row.path_, static_cast<int>(row.behaviour_));
  Deployment deployment;
  deployment.first_.SetBehaviour(row.behaviour_);
  deployment.second_.SetBehaviour(row.behaviour_);
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto answer = Ask(entry, RequestText(row.path_));
  CHECK(Status(answer) == row.status_);
  CHECK(deployment.first_.runs() + deployment.second_.runs() == row.runs_);
  const bool retry_told = answer.find("retry-after") != std::string::npos;
  CHECK(retry_told == (row.status_ == "503"));
}

TEST_CASE("a repeatable request goes on at another endpoint", "[platform]") {
  const auto behaviour = GENERATE(Behaviour::kShed, Behaviour::kLose,
                                  Behaviour::kFail, Behaviour::kUnsigned);
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.first_.SetBehaviour(behaviour);
  for (int i = 0; i < 6; ++i) {
    CHECK(Status(Ask(entry, RequestText("/safe/x"))) == "200");
  }
}

TEST_CASE("another incarnation at an address gets nothing", "[platform]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.first_.SetId("i-reborn");
  for (int i = 0; i < 4; ++i) {
    CHECK(Status(Ask(entry, RequestText("/once/x"))) == "200");
  }
  CHECK(deployment.first_.runs() == 0);
}

TEST_CASE("a cut stream goes on after its last whole event", "[platform]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.first_.SetBehaviour(Behaviour::kCutStream);
  deployment.second_.SetBehaviour(Behaviour::kCutStream);
  // The endpoint that is tried second serves the rest.
  std::thread mend([&] {
    (void)Eventually([&] {
      return deployment.first_.runs() + deployment.second_.runs() > 0;
    });
    auto& other =
        deployment.first_.runs() > 0 ? deployment.second_ : deployment.first_;
    other.SetBehaviour(Behaviour::kServe);
  });
  const auto answer = Ask(entry, RequestText("/stream/x"));
  mend.join();
  CHECK(Status(answer) == "200");
  std::size_t at = 0;
  for (int id = 1; id <= 6; ++id) {
    const auto text = "id: " + std::to_string(id) + "\ndata: token-" +
                      std::to_string(id) + "\n\n";
    const auto found = answer.find(text, at);
    REQUIRE(found != std::string::npos);
    at = found + 1;
    CHECK(answer.find(text, at) == std::string::npos);
  }
  CHECK(answer.ends_with("0\r\n\r\n"));
}

TEST_CASE("a caller that leaves ends its run", "[platform]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.first_.SetBehaviour(Behaviour::kHang);
  deployment.second_.SetBehaviour(Behaviour::kHang);
  {
    const RawSocket caller(entry.caller_);
    caller.Send(RequestText("/once/x"));
    REQUIRE(Eventually([&] {
      return deployment.first_.runs() + deployment.second_.runs() == 1;
    }));
  }
  CHECK(Eventually([&] {
    return deployment.first_.gone() + deployment.second_.gone() == 1;
  }));
}

TEST_CASE("a change of rules is in force, also after forgotten history",
          "[platform]") {
  const bool forget = GENERATE(false, true);
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  CHECK(Status(Ask(entry, RequestText("/safe/x", "k2"))) == "200");
  if (forget) {
    deployment.store_.Forget();
  }
  deployment.PutRules(9, {"k1"});
  CHECK(Eventually([&] {
    return Status(Ask(entry, RequestText("/safe/x", "k2"))) == "401";
  }));
  CHECK(Status(Ask(entry, RequestText("/safe/x", "k1"))) == "200");
}

TEST_CASE("an endpoint that leaves gets nothing more", "[platform]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.store_.Put("servers/i-first",
                        deployment.first_.Row("plain", "z1", "draining"));
  deployment.store_.Remove("servers/i-second");
  CHECK(Eventually(
      [&] { return Status(Ask(entry, RequestText("/safe/x"))) == "503"; }));
}

TEST_CASE("an entry without the store learns from another entry",
          "[platform]") {
  Deployment deployment;
  StoreStandin away(deployment.thread_);
  away.SetBusy(true);
  const auto first = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return first.Ready(); }));
  const auto second = deployment.StartEntry("e2", away.address(), &first);
  REQUIRE(Eventually([&] { return second.Ready(); }));
  CHECK(Status(Ask(second, RequestText("/safe/x", "k2"))) == "200");
  deployment.PutRules(9, {"k1"});
  CHECK(Eventually([&] {
    return Status(Ask(second, RequestText("/safe/x", "k2"))) == "401";
  }));
  CHECK(Status(Ask(second, RequestText("/safe/x", "k1"))) == "200");
}

TEST_CASE("limits of callers are those of the rules in force", "[platform]") {
  struct Row {
    std::string name_;
    std::string header_;
    std::size_t body_ = 0;
    std::string before_;
    std::string after_;
  };
  const auto row =
      GENERATE(Row{"large headers", std::string(2000, 'h'), 4, "200", "431"},
               Row{"a large body", "h", 600, "200", "413"},
               Row{"small ones", "h", 4, "200", "200"});
  CAPTURE(row.name_);
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto text =
      "POST /open/x HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\n"
      "connection: close\r\nx-fill: " +
      row.header_ + "\r\ncontent-length: " + std::to_string(row.body_) +
      "\r\n\r\n" + std::string(row.body_, 'b');
  CHECK(Status(Ask(entry, text)) == row.before_);
  deployment.limits_ = {
      .header_bytes_ = 1000, .body_bytes_ = 500, .header_ms_ = 300};
  deployment.PutRules(2, {"k1"});
  REQUIRE(Eventually([&] {
    return Status(Ask(entry, RequestText("/safe/x", "k2"))) == "401";
  }));
  CHECK(Status(Ask(entry, text)) == row.after_);
  // A request that is never whole: its time is up.
  const RawSocket slow(entry.caller_);
  slow.Send("POST /open/x HTTP/1.1\r\nhost: h\r\n");
  CHECK(Status(slow.ReadUntil()) == "408");
}

TEST_CASE("a reload takes good settings and keeps out faulty ones",
          "[platform]") {
  struct Row {
    std::string added_;
    std::string told_;
  };
  const auto row = GENERATE(Row{"\n[mesh]\ninterval_ms = 900\n", "yes"},
                            Row{"\n[mesh]\ninterval_ms = soon\n", "no"});
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  std::ofstream(deployment.folder_ / "e1.ini", std::ios::app) << row.added_;
  entry.child_.Signal(SIGHUP);
  entry.child_.Signal(SIGHUP);
  CHECK(Eventually([&] {
    return deployment.Log("e1").find("taken=\"" + row.told_) !=
           std::string::npos;
  }));
  CHECK(Status(Ask(entry, RequestText("/safe/x"))) == "200");
}

TEST_CASE("an entry that restarts without the store serves by a peer's word",
          "[platform]") {
  // Until then it is not ready, and says that nothing ran.
  Deployment deployment;
  const auto first = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return first.Ready(); }));
  StoreStandin away(deployment.thread_);
  away.SetBusy(true);
  auto alone = deployment.StartEntry("e2", away.address());
  REQUIRE(Eventually(
      [&] { return Status(Ask(alone, RequestText("/safe/x"))) == "503"; }));
  CHECK_FALSE(alone.Ready());
  CHECK(Ask(alone, RequestText("/safe/x")).find("retry-after") !=
        std::string::npos);
  alone.child_.Kill();
  const auto again = deployment.StartEntry("e3", away.address(), &first);
  CHECK(Eventually([&] { return again.Ready(); }));
  CHECK(Status(Ask(again, RequestText("/safe/x"))) == "200");
}

TEST_CASE("rules are in force where the watch has gone silent", "[platform]") {
  // The second entry's connections to the store carry reads, but its watch
  // never answers: it hears of the new rules from the first.
  Deployment deployment;
  StoreStandin silent(deployment.thread_);
  silent.SetWatchesSilent();
  deployment.PutRules(silent, 1, {"k1", "k2"});
  deployment.PutRows(silent);
  const auto first = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return first.Ready(); }));
  const auto second = deployment.StartEntry("e2", silent.address(), &first);
  REQUIRE(Eventually([&] { return second.Ready(); }));
  CHECK(Status(Ask(second, RequestText("/safe/x", "k2"))) == "200");
  deployment.PutRules(silent, 2, {"k1"});
  deployment.PutRules(2, {"k1"});
  CHECK(Eventually([&] {
    return Status(Ask(second, RequestText("/safe/x", "k2"))) == "401";
  }));
}

TEST_CASE("one entry of a failure domain reads the list and tells the other",
          "[platform]") {
  Deployment deployment;
  const auto first = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return first.Ready(); }));
  const auto second =
      deployment.StartEntry("e2", deployment.store_.address(), &first);
  REQUIRE(Eventually([&] { return second.Ready(); }));
  int rows = 0;
  CHECK(Eventually([&] {
    // Each row is news; the one who is told may have read one itself before.
    deployment.store_.Put("servers/i-added" + std::to_string(++rows),
                          deployment.first_.Row("plain", "z1"));
    std::this_thread::sleep_for(50ms);
    return deployment.Log("e1").find("source=\"e2\"") != std::string::npos ||
           deployment.Log("e2").find("source=\"e1\"") != std::string::npos;
  }));
}

TEST_CASE("a planned stop finishes what was read and takes nothing new",
          "[platform]") {
  Deployment deployment;
  auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const RawSocket kept(entry.caller_);
  entry.child_.Signal(SIGTERM);
  REQUIRE(Eventually([&] { return !entry.Ready(); }));
  kept.Send(
      "POST /safe/x HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\nauthorization: "
      "Bearer k1\r\ncontent-length: 0\r\n\r\n");
  const auto answer = kept.ReadUntil();
  CHECK(Status(answer) == "200");
  CHECK(answer.find("connection: close") != std::string::npos);
  CHECK(entry.child_.Wait(kPatience) == 0);
}

TEST_CASE("an agent brings its engine to the newest weights, whole",
          "[platform]") {
  Deployment deployment;
  const bool spoilt = GENERATE(false, true);
  if (spoilt) {
    deployment.origin_.SpoilNext();
  }
  const auto agent = deployment.StartAgent("a1");
  REQUIRE(Eventually([&] { return deployment.engine_.version() == 1; }));
  deployment.store_.Put("op/version/m", {{"model", "m"}, {"version", 2}});
  REQUIRE(Eventually([&] { return deployment.engine_.version() == 2; }));
  const auto staged = deployment.engine_.staged();
  REQUIRE(staged.size() == kPieces);
  for (std::size_t piece = 0; piece < kPieces; ++piece) {
    CHECK(staged.at(piece) == OriginStandin::Piece(2, piece));
  }
  CHECK(deployment.origin_.drawn() ==
        static_cast<int>(2 * kPieces) + (spoilt ? 1 : 0));
}

TEST_CASE("an engine that starts while the origin is down serves older weights",
          "[platform]") {
  Deployment deployment;
  standins::EndpointStandin second{deployment.thread_, "i-engine-2"};
  const auto first_address = deployment.engine_.address();
  const auto second_address = second.address();
  deployment.engine_.SetNamed("127.0.0.2:7001");
  second.SetNamed("127.0.0.3:7001");
  deployment.PutRows();
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto first_agent =
      deployment.StartAgent("a1", {&entry, 2, first_address});
  REQUIRE(Eventually([&] { return deployment.engine_.version() == 1; }));
  // What the first engine has staged is older weights in part only.
  constexpr int kDrawn = 2;
  deployment.origin_.GoDownAfter(kDrawn);
  deployment.store_.Put("op/version/m", {{"model", "m"}, {"version", 2}});
  REQUIRE(Eventually([&] {
    const auto staged = deployment.engine_.staged();
    return std::ranges::count_if(staged, [](const auto& piece) {
             return piece.second == OriginStandin::Piece(2, piece.first);
           }) == kDrawn;
  }));
  deployment.store_.Put("servers/" + second.id(), second.Row("pool", "z1"));
  const auto second_agent =
      deployment.StartAgent("a2", {&entry, 3, second_address});
  REQUIRE(Eventually([&] { return second.version() == 1; }));
  for (const auto& [piece, bytes] : second.staged()) {
    CHECK(bytes == OriginStandin::Piece(1, piece));
  }
  deployment.origin_.SetDown(false);
  CHECK(Eventually([&] {
    return second.version() == 2 && deployment.engine_.version() == 2;
  }));
}

TEST_CASE("an agent that restarts beside a serving engine leaves it alone",
          "[platform]") {
  // Seen: after all processes were killed, agents read their engines before
  // they knew the model, took them for empty, ordered what they served, and
  // kept them from requests for 7 s.
  Deployment deployment;
  deployment.engine_.SetVersion(2);
  deployment.store_.Put("op/version/m", {{"model", "m"}, {"version", 2}});
  deployment.store_.SetBusy(true);
  const auto agent = deployment.StartAgent("a1");
  REQUIRE(Eventually([&] { return deployment.engine_.reports() >= 5; }));
  deployment.store_.SetBusy(false);
  REQUIRE(Eventually([&] {
    const auto log = deployment.Log("a1");
    return log.find("weights-named") != std::string::npos &&
           log.find("restarted") != std::string::npos;
  }));
  const auto reports = deployment.engine_.reports();
  REQUIRE(
      Eventually([&] { return deployment.engine_.reports() >= reports + 20; }));
  CHECK(deployment.engine_.orders() == 0);
  CHECK(deployment.Log("a1").find("fetch-started") == std::string::npos);
}

TEST_CASE("an engine that already holds what is ordered is free at once",
          "[platform]") {
  // The engine came to hold the version while its agent was fetching it.
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
  CHECK(Eventually(
      [&] { return Status(Ask(entry, RequestText("/model/x"))) == "200"; }));
  deployment.origin_.SetDown(false);
  const auto reports = deployment.engine_.reports();
  REQUIRE(
      Eventually([&] { return deployment.engine_.reports() >= reports + 20; }));
  CHECK(deployment.engine_.orders() == 0);
  CHECK(Status(Ask(entry, RequestText("/model/x"))) == "200");
}

TEST_CASE("a request of a model waits for an engine that holds it",
          "[platform]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  CHECK(Status(Ask(entry, RequestText("/model/x"))) == "503");
  const auto agent = deployment.StartAgent("a1");
  REQUIRE(Eventually([&] { return deployment.engine_.version() == 1; }));
  deployment.PutRows();
  CHECK(Eventually(
      [&] { return Status(Ask(entry, RequestText("/model/x"))) == "200"; }));
}

}  // namespace
}  // namespace chalkwell::platform_tests
