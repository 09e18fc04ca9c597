// One part of a prompt crashes each runner that begins to write an answer on
// it. Two cases:
// - 10: the prompts are those of long conversations, of 40 shared parts. Rule
//   BUDGET: more than three requests with that part reach runners later than
//   contactMs after the fifth crash.
// - 7, with "quiet" as the second argument: the prompts have three shared
// parts,
//   and the crashing one comes first after a quiet time. Rule LOST: sound
//   requests with the same first part begin less than half as often as before.
#include <cstdlib>

#include "world.hpp"

namespace {

using review::Milliseconds;

constexpr std::size_t kPieces = 96;
constexpr Milliseconds kPieceTime(27);
constexpr int kEntries = 2;
constexpr int kRunners = 4;
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
constexpr int kPartTokens = 20;
const std::string kCrashingPart = "dead0bad";

/// Parts of a prompt: those that all share, one that crashes runners or not,
/// and one of its own.
std::string Prompt(int shared, int crashing_at, bool crashes, int number) {
  const auto tokens = std::to_string(kPartTokens);
  std::string text;
  for (int part = 1; part <= shared; ++part) {
    const bool here = part == crashing_at;
    text += (here ? (crashes ? kCrashingPart : "600d0bad")
                  : "5c1e0" + std::to_string(100 + part)) +
            ":" + tokens + ",";
  }
  return text + "91bd" + std::to_string(1000 + number) + ":" + tokens;
}

/// What the runners have seen of the part that crashes them.
struct Seen {
  std::mutex mutex_;
  int crashes_ = 0;
  review::Clock::time_point fifth_;
  review::Clock::time_point last_;
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
      seen.last_ = now;
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

/// A deployment whose runners crash at one part of a prompt.
class Deployment {
 public:
  Deployment(const std::string& folder, int parts, int crashing_at)
      : world_(folder),
        origin_(world_.Ip(201), kPieces, kPieceTime, world_.record_),
        parts_(parts),
        crashing_at_(crashing_at) {
    world_.PutConfig(origin_.address(), kPieces);
    for (int number = 0; number < kRunners; ++number) {
      runners_.push_back(std::make_unique<review::Runner>(
          review::RunnerOptions{.ip_ = world_.Ip(kFirstMachine + number),
                                .service_ = "pool",
                                .pieces_ = kPieces,
                                .version_ = 1},
          *world_.store_, world_.record_));
      auto& runner = *runners_.back();
      runner.OnRun([this, &runner](const auto& request, auto& connection) {
        return RunStream(request, connection, runner, world_.record_, trouble_,
                         seen_);
      });
    }
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment() = default;

  /// @return whether all entries are ready.
  [[nodiscard]] bool Start() {
    for (int entry = 0; entry < kEntries; ++entry) {
      world_.StartEntry(kFirstEntry + entry);
    }
    for (int runner = 0; runner < kRunners; ++runner) {
      world_.StartAgent(kFirstMachine + runner, "pool");
    }
    for (int entry = 0; entry < kEntries; ++entry) {
      if (!world_.WaitReady(kFirstEntry + entry)) {
        return false;
      }
    }
    std::this_thread::sleep_for(kContact);
    return true;
  }

  /// @return whether the request was served whole.
  bool Send(int entry, bool crashes) {
    const int number = ++number_;
    const auto answer = world_.Send(
        kFirstEntry + entry % kEntries, "POST", "/pool/2f",
        "Model: " + review::kModel +
            "\r\nToken-Counts: " + std::to_string(kPartTokens * (parts_ + 1)) +
            ",40\r\nPrompt-Prefix: " +
            Prompt(parts_, crashing_at_, crashes, number) + "\r\n",
        "prompt " + std::to_string(number), Milliseconds(6000));
    return answer.status_ == 200 && answer.complete_;
  }

  review::World world_;
  Seen seen_;

 private:
  const bool trouble_ = review::Trouble();
  review::Origin origin_;
  int parts_;
  int crashing_at_;
  std::atomic<int> number_{0};
  std::vector<std::unique_ptr<review::Runner>> runners_;
};

int ManyParts(const std::string& folder) {
  const char* chosen = std::getenv("PART");
  Deployment deployment(folder, kParts,
                        chosen == nullptr ? 36 : std::stoi(chosen));
  if (!deployment.Start()) {
    return 2;
  }
  int served = 0;
  const auto until = review::Clock::now() + kLimit;
  for (int round = 0; review::Clock::now() < until; ++round) {
    for (int sound = 0; sound < 5; ++sound) {
      served += deployment.Send(round, false) ? 1 : 0;
    }
    (void)deployment.Send(round, true);
    std::this_thread::sleep_for(kBetween);
  }
  auto& seen = deployment.seen_;
  deployment.world_.record_.Write(
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

/// Sound requests that were sent, and how many of them were served.
struct Share {
  int sent_ = 0;
  int served_ = 0;
};

std::string ToText(const Share& share) {
  return std::to_string(share.served_) + " of " + std::to_string(share.sent_);
}

int AfterQuietTime(const std::string& folder) {
  constexpr int kQuietParts = 3;
  constexpr int kCrashingAt = 2;
  constexpr Milliseconds kQuiet(20000);
  constexpr Milliseconds kSoundBetween(250);
  constexpr Milliseconds kAgain(600);
  constexpr Milliseconds kCrashingBetween(2000);
  constexpr auto kSpan = std::chrono::seconds(35);
  Deployment deployment(folder, kQuietParts, kCrashingAt);
  if (!deployment.Start()) {
    return 2;
  }
  Share before;
  for (int number = 0; number < 40; ++number) {
    before.served_ += deployment.Send(number, false) ? 1 : 0;
    ++before.sent_;
    std::this_thread::sleep_for(kSoundBetween);
  }
  deployment.world_.record_.Write("clients: nobody asks for " +
                                  std::to_string(kQuiet.count()) + " ms");
  std::this_thread::sleep_for(kQuiet);
  const auto until = review::Clock::now() + kSpan;
  std::thread crashing([&] {
    // It comes at one machine, soon again at the other, and once more.
    for (int number = 0; number < 2; ++number) {
      (void)deployment.Send(number, true);
      std::this_thread::sleep_for(kAgain);
    }
    for (int number = 2; review::Clock::now() < until; ++number) {
      (void)deployment.Send(number, true);
      std::this_thread::sleep_for(kCrashingBetween);
    }
  });
  std::this_thread::sleep_for(3 * kAgain);
  Share after;
  auto& seen = deployment.seen_;
  for (int number = 0; review::Clock::now() < until; ++number) {
    bool counts = false;
    {
      const std::lock_guard lock(seen.mutex_);
      const auto since = seen.crashes_ >= 5 ? seen.fifth_ : seen.last_;
      counts = review::Clock::now() - since > 2 * kContact;
    }
    const bool served = deployment.Send(number, false);
    after.sent_ += counts ? 1 : 0;
    after.served_ += counts && served ? 1 : 0;
    std::this_thread::sleep_for(kSoundBetween);
  }
  crashing.join();
  deployment.world_.record_.Write(
      "result: sound requests with the same first part served before: " +
      ToText(before) + ", later than 2 x contactMs after the last of " +
      std::to_string(seen.crashes_) + " crashes: " + ToText(after));
  if (before.served_ < 20 || after.sent_ < 20) {
    return 2;
  }
  const bool lost =
      2 * after.served_ * before.sent_ < before.served_ * after.sent_;
  return lost ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments) {
  const bool quiet = count > 2 && std::string(arguments[2]) == "quiet";
  return review::RunCase([&] {
    const auto folder = review::FolderOf(count, arguments);
    return quiet ? AfterQuietTime(folder) : ManyParts(folder);
  });
}
