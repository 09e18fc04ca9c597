// A request crashes each runner that begins to run it; runners send answers
// without a length, which end with their channel. Rule BUDGET: the request
// reaches runners in more than three retries after it has crashed three.
#include "world.hpp"

namespace {

using review::Milliseconds;

constexpr int kEntries = 2;
constexpr int kRunners = 3;
constexpr int kFirstEntry = 10;
constexpr int kFirstMachine = 40;
/// From the head of an answer to the crash.
constexpr Milliseconds kCrashAfter(30);
/// A crashed runner is back after this time.
constexpr Milliseconds kDown(2000);
constexpr Milliseconds kContact(3000);
constexpr Milliseconds kBetween(1500);
constexpr auto kLimit = std::chrono::seconds(45);
/// Retries that may reach a runner after that.
constexpr int kAllowed = 3;

/// What the runners have seen of the request that crashes them.
struct Seen {
  std::mutex mutex_;
  int crashes_ = 0;
  review::Clock::time_point third_;
  int late_ = 0;
};

bool RunPlain(const review::Request& request, review::Connection& connection,
              review::Runner& runner, review::Record& record, bool trouble,
              Seen& seen) {
  const auto id = request.Header("attempt-id");
  const bool crashes = request.body_ == "crashes";
  record.Write("runner " + runner.id() + ": runs " + id +
               (crashes ? ", the crashing request" : ""));
  // Without a length or chunks; the end of the channel ends it.
  connection.Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                  "\r\nResponse-Seal: s." + runner.id() +
                  "\r\nContent-Type: text/plain\r\n\r\nthe first part, ");
  if (!crashes || !trouble) {
    connection.Send("the rest");
    return false;
  }
  {
    const std::lock_guard lock(seen.mutex_);
    const auto now = review::Clock::now();
    if (seen.crashes_ >= 3 && now - seen.third_ > kContact) {
      ++seen.late_;
    }
    if (++seen.crashes_ == 3) {
      seen.third_ = now;
    }
  }
  std::this_thread::sleep_for(kCrashAfter);
  runner.Crash(kDown, false);
  return false;
}

int Main(const std::string& folder) {
  const bool trouble = review::Trouble();
  review::World world(folder);
  Seen seen;
  world.PutConfig("", 0);
  std::vector<std::unique_ptr<review::Runner>> runners;
  for (int number = 0; number < kRunners; ++number) {
    runners.push_back(std::make_unique<review::Runner>(
        review::RunnerOptions{.ip_ = world.Ip(kFirstMachine + number),
                              .service_ = "plain"},
        *world.store_, world.record_));
    auto& runner = *runners.back();
    runner.OnRun([&](const auto& request, auto& connection) {
      return RunPlain(request, connection, runner, world.record_, trouble,
                      seen);
    });
  }
  for (int entry = 0; entry < kEntries; ++entry) {
    world.StartEntry(kFirstEntry + entry);
  }
  for (int entry = 0; entry < kEntries; ++entry) {
    if (!world.WaitReady(kFirstEntry + entry)) {
      return 2;
    }
  }
  std::this_thread::sleep_for(kContact);
  const auto until = review::Clock::now() + kLimit;
  int served = 0;
  for (int number = 0; review::Clock::now() < until; ++number) {
    const int entry = kFirstEntry + number % kEntries;
    for (int sound = 0; sound < 5; ++sound) {
      const auto answer = world.Send(
          entry, "POST", "/plain/2f", "",
          "sound " + std::to_string(number) + "." + std::to_string(sound),
          Milliseconds(3000));
      served += answer.status_ == 200 && answer.complete_ ? 1 : 0;
    }
    (void)world.Send(entry, "POST", "/plain/2f", "", "crashes",
                     Milliseconds(3000));
    std::this_thread::sleep_for(kBetween);
  }
  world.record_.Write(
      "result: " + std::to_string(served) + " sound requests served, " +
      std::to_string(seen.crashes_) + " crashes, " +
      std::to_string(seen.late_) +
      " runs of the crashing request later than contactMs after the third, " +
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
