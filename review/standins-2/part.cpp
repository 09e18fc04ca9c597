// One part of a prompt crashes each runner that begins to write an answer on
// it; the prompts are those of long conversations, of 40 shared parts. Rule
// BUDGET: more than three requests with that part reach runners later than
// contactMs after the fifth crash.
#include <cstdlib>

#include "world.hpp"

namespace {

using review::Milliseconds;

constexpr std::size_t kPieces = 96;
constexpr Milliseconds kPieceTime(27);
constexpr int kEntries = 2;
constexpr int kRunners = 3;
constexpr int kFirstEntry = 10;
constexpr int kFirstMachine = 40;
constexpr int kEvents = 5;
constexpr Milliseconds kEventTime(20);
/// A crashed runner is back after this time.
constexpr Milliseconds kDown(1500);
constexpr Milliseconds kContact(3000);
constexpr Milliseconds kBetween(1500);
constexpr auto kLimit = std::chrono::seconds(60);
/// Requests that may reach a runner after that.
constexpr int kAllowed = 3;
/// Shared parts of a prompt, and which of them crashes runners.
constexpr int kParts = 40;
const std::string kCrashingPart = "dead0bad";

/// Parts of a prompt: those that all share, one that crashes runners or not,
/// and one of its own.
std::string Prompt(int shared, int crashing_at, bool crashes, int number) {
  std::string text;
  for (int part = 1; part <= shared; ++part) {
    const bool here = part == crashing_at;
    text += (here ? (crashes ? kCrashingPart : "600d0bad")
                  : "5c1e0" + std::to_string(100 + part)) +
            ":20,";
  }
  return text + "91bd" + std::to_string(1000 + number) + ":20";
}

/// What the runners have seen of the part that crashes them.
struct Seen {
  std::mutex mutex_;
  int crashes_ = 0;
  review::Clock::time_point fifth_;
  int late_ = 0;
};

bool RunStream(const review::Request& request, review::Connection& connection,
               review::Runner& runner, review::Record& record, bool trouble,
               Seen& seen) {
  const auto id = request.Header("attempt-id");
  const bool crashes =
      trouble && request.Header("prompt-prefix").find(kCrashingPart + ":") !=
                     std::string::npos;
  record.Write("runner " + runner.id() + ": runs " + id +
               (crashes ? ", with the crashing part" : ""));
  connection.Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                  "\r\nResponse-Seal: s." + runner.id() +
                  "\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
  std::this_thread::sleep_for(kEventTime);
  if (crashes) {
    {
      const std::lock_guard lock(seen.mutex_);
      const auto now = review::Clock::now();
      if (seen.crashes_ >= 5 && now - seen.fifth_ > kContact) {
        ++seen.late_;
      }
      if (++seen.crashes_ == 5) {
        seen.fifth_ = now;
      }
    }
    runner.Crash(kDown, false);
    return false;
  }
  for (int event = 1; event <= kEvents; ++event) {
    const std::string text = "id: " + std::to_string(event) + "\ndata: t\n\n";
    if (!connection.Send("f\r\n" + text + "\r\n")) {
      return false;
    }
    std::this_thread::sleep_for(kEventTime);
  }
  return connection.Send("0\r\n\r\n");
}

int Main(const std::string& folder) {
  const bool trouble = review::Trouble();
  const char* chosen = std::getenv("PART");
  const int crashing_at = chosen == nullptr ? 36 : std::stoi(chosen);
  review::World world(folder);
  review::Origin origin(world.Ip(201), kPieces, kPieceTime, world.record_);
  Seen seen;
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
      return RunStream(request, connection, runner, world.record_, trouble,
                       seen);
    });
  }
  for (int entry = 0; entry < kEntries; ++entry) {
    world.StartEntry(kFirstEntry + entry);
  }
  for (int runner = 0; runner < kRunners; ++runner) {
    world.StartAgent(kFirstMachine + runner, "pool");
  }
  for (int entry = 0; entry < kEntries; ++entry) {
    if (!world.WaitReady(kFirstEntry + entry)) {
      return 2;
    }
  }
  std::this_thread::sleep_for(kContact);
  int served = 0;
  int number = 0;
  const auto send = [&](int entry, bool crashes) {
    ++number;
    return world.Send(entry, "POST", "/pool/2f",
                      "Model: " + review::kModel +
                          "\r\nToken-Counts: 820,40\r\nPrompt-Prefix: " +
                          Prompt(kParts, crashing_at, crashes, number) + "\r\n",
                      "prompt " + std::to_string(number), Milliseconds(6000));
  };
  const auto until = review::Clock::now() + kLimit;
  for (int round = 0; review::Clock::now() < until; ++round) {
    const int entry = kFirstEntry + round % kEntries;
    for (int sound = 0; sound < 5; ++sound) {
      const auto answer = send(entry, false);
      served += answer.status_ == 200 && answer.complete_ ? 1 : 0;
    }
    (void)send(entry, true);
    std::this_thread::sleep_for(kBetween);
  }
  world.record_.Write(
      "result: " + std::to_string(served) + " sound streams served, " +
      std::to_string(seen.crashes_) + " crashes, " +
      std::to_string(seen.late_) +
      " requests with the crashing part begun later than contactMs after the "
      "fifth, " +
      std::to_string(kAllowed) + " are allowed");
  if (served == 0) {
    return 2;
  }
  return seen.late_ > kAllowed ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments) {
  return review::RunCase(
      [&] { return Main(review::FolderOf(count, arguments)); });
}
