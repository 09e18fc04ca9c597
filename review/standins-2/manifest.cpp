// All machines lose power; as they return, one answer of the origin arrives
// spoilt: a manifest with one wrong digit in a digest. Rule RECOVER: fewer than
// a quarter of the later requests are served. It has no folder of its own
// (REPORT-2.md); its argument names the folder for record.txt.
#include <algorithm>

#include "world.hpp"

namespace {

using review::Milliseconds;

constexpr std::size_t kPieces = 96;
constexpr Milliseconds kPieceTime(27);
constexpr int kEntries = 2;
constexpr int kRunners = 1;
constexpr int kFirstEntry = 10;
constexpr int kFirstMachine = 40;
constexpr int kEvents = 5;
/// How long the machines are without power.
constexpr Milliseconds kDown(1200);
constexpr auto kRecovery = std::chrono::seconds(12);
/// Span in which requests are counted, before the fault and after recoveryS.
constexpr auto kBefore = std::chrono::seconds(5);
constexpr auto kAfter = std::chrono::seconds(30);
constexpr auto kRolled = std::chrono::seconds(25);

bool RunStream(const review::Request& request, review::Connection& connection,
               const review::Runner& runner, review::Record& record) {
  const auto id = request.Header("attempt-id");
  record.Write("runner " + runner.id() + ": runs " + id + " on version " +
               std::to_string(runner.version()));
  std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                     "\r\nResponse-Seal: s." + runner.id() +
                     "\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  for (int event = 1; event <= kEvents; ++event) {
    const std::string text = "id: " + std::to_string(event) + "\ndata: t\n\n";
    head += "f\r\n" + text + "\r\n";
  }
  return connection.Send(head + "0\r\n\r\n");
}

/// Counts the streams that are served whole.
struct Served {
  int sent_ = 0;
  int whole_ = 0;

  [[nodiscard]] bool LessThanAQuarter() const { return 4 * whole_ < sent_; }
};

Served Ask(review::World& world, std::chrono::seconds span) {
  Served served;
  const auto until = review::Clock::now() + span;
  while (review::Clock::now() < until) {
    const auto answer =
        world.Send(kFirstEntry + served.sent_ % kEntries, "POST", "/pool/2f",
                   "Model: " + review::kModel +
                       "\r\nToken-Counts: 200,40\r\nPrompt-Prefix: "
                       "5c1e07a2:40,91bd3f06:160\r\n",
                   "prompt", Milliseconds(6000));
    ++served.sent_;
    served.whole_ += answer.status_ == 200 && answer.complete_ ? 1 : 0;
    std::this_thread::sleep_for(Milliseconds(200));
  }
  return served;
}

void StartAll(review::World& world, bool bootstrap) {
  for (int entry = 0; entry < kEntries; ++entry) {
    world.StartEntry(kFirstEntry + entry, bootstrap);
  }
  for (int runner = 0; runner < kRunners; ++runner) {
    world.StartAgent(kFirstMachine + runner, "pool", bootstrap);
  }
}

int Main(const std::string& folder) {
  review::World world(folder);
  review::Origin origin(world.Ip(201), kPieces, kPieceTime, world.record_);
  world.PutConfig(origin.address(), kPieces);
  std::vector<std::unique_ptr<review::Runner>> runners;
  for (int number = 0; number < kRunners; ++number) {
    runners.push_back(std::make_unique<review::Runner>(
        review::RunnerOptions{.ip_ = world.Ip(kFirstMachine + number),
                              .service_ = "pool",
                              .pieces_ = kPieces,
                              .version_ = 1},
        *world.store_, world.record_));
    auto& runner = *runners.back();
    runner.OnRun([&](const auto& request, auto& connection) {
      return RunStream(request, connection, runner, world.record_);
    });
  }
  const auto all_run = [&](std::uint64_t version) {
    return std::ranges::all_of(runners, [version](const auto& runner) {
      return runner->version() == version;
    });
  };
  StartAll(world, true);
  if (!world.WaitReady(kFirstEntry) || !world.WaitReady(kFirstEntry + 1)) {
    return 2;
  }
  std::this_thread::sleep_for(Milliseconds(2000));
  origin.SetNewest(2);
  world.NameVersion(2);
  const auto rolled = review::Clock::now() + kRolled;
  while (!all_run(2) && review::Clock::now() < rolled) {
    std::this_thread::sleep_for(Milliseconds(20));
  }
  const auto before = Ask(world, kBefore);
  if (!all_run(2) || before.LessThanAQuarter()) {
    return 2;
  }
  world.record_.Write("all machines lose power");
  for (int entry = 0; entry < kEntries; ++entry) {
    world.KillNode(kFirstEntry + entry);
  }
  for (int number = 0; number < kRunners; ++number) {
    world.KillNode(kFirstMachine + number);
    runners[static_cast<std::size_t>(number)]->Crash(kDown, true);
  }
  const auto answers = origin.answers();
  if (review::Trouble()) {
    origin.SpoilNextManifest();
  }
  std::this_thread::sleep_for(kDown);
  StartAll(world, false);
  world.record_.Write("the machines are back");
  std::this_thread::sleep_for(kRecovery);
  const auto after = Ask(world, kAfter);
  world.record_.Write(
      "result: served before the fault " + std::to_string(before.whole_) +
      " of " + std::to_string(before.sent_) + ", later than recoveryS after " +
      "the return " + std::to_string(after.whole_) + " of " +
      std::to_string(after.sent_) + "; " + std::to_string(origin.spoilt()) +
      " of " + std::to_string(origin.answers() - answers) +
      " answers of the origin since were spoilt");
  return after.LessThanAQuarter() ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments) {
  return review::RunCase(
      [&] { return Main(review::FolderOf(count, arguments)); });
}
