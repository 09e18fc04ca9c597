// VERSION: all processes are killed while a version is rolled out; the entries
// then count the time for which older weights may be used from their restart.
#include <thread>

#include "clients.hpp"

namespace review {
namespace {

constexpr auto kBefore = std::chrono::seconds(5);
constexpr auto kVersionBound = Milliseconds(8000);
constexpr auto kContact = Milliseconds(3000);
/// From the version's acknowledgement to the kill.
constexpr auto kKillDelay = Milliseconds(2600);
/// From the kill to the restart.
constexpr auto kDown = Milliseconds(2000);
constexpr auto kAfter = std::chrono::seconds(20);
constexpr int kRunners = 6;

/// Requests that begin on an older version too late.
class OlderRuns {
 public:
  explicit OlderRuns(Record& record) : record_(record) {}

  void OnNamed() {
    const std::lock_guard lock(mutex_);
    named_at_ = Clock::now();
  }
  void OnRestarted() {
    const std::lock_guard lock(mutex_);
    restarted_at_ = Clock::now();
  }
  void OnRun(const std::string& id, std::uint64_t version) {
    const std::lock_guard lock(mutex_);
    const auto now = Clock::now();
    // The request was sent on less than kSendTime before it began.
    const bool in_touch =
        restarted_at_ && now - *restarted_at_ > kContact + kSendTime;
    if (version < 2 && named_at_ && now - *named_at_ > kVersionBound &&
        (in_touch || !restarted_at_)) {
      ++count_;
      record_.Line("broken: " + id + " begins on version 1, " +
                   std::to_string(std::chrono::duration_cast<Milliseconds>(
                                      now - *named_at_)
                                      .count()) +
                   " ms after version 2 was acknowledged");
    }
  }
  [[nodiscard]] int count() {
    const std::lock_guard lock(mutex_);
    return count_;
  }

 private:
  static constexpr auto kSendTime = Milliseconds(200);

  Record& record_;
  std::mutex mutex_;
  std::optional<Clock::time_point> named_at_;
  std::optional<Clock::time_point> restarted_at_;
  int count_ = 0;
};

void KillAndRestart(Deployment& deployment, OlderRuns& older) {
  std::this_thread::sleep_for(kKillDelay);
  deployment.KillAll();
  std::this_thread::sleep_for(kDown);
  deployment.StartAllAgain();
  older.OnRestarted();
}

int Run(const std::vector<std::string>& arguments) {
  Deployment deployment(arguments);
  auto& record = deployment.record();
  const Weights weights;
  const Origin origin(deployment.Ip(10), weights, record);
  OlderRuns older(record);
  const auto runners = StartRunners(
      deployment, kRunners, {.service_ = "pool", .slots_ = 16}, weights);
  for (const auto& runner : runners) {
    runner->OnRun([&older](const std::string& id, std::uint64_t version) {
      older.OnRun(id, version);
    });
  }
  deployment.SetSeeds({2, 3});
  deployment.store().Put(
      "op/config",
      Configuration(1, {{"/lepu270/", "streaming", "pool", 6000, 2, true}},
                    weights, origin.address()));
  std::vector<Address> entries;
  for (const int machine : {2, 3}) {
    entries.push_back(deployment.StartEntry(machine).front_);
  }
  for (int number = 0; number < kRunners; ++number) {
    deployment.StartAgent(20 + number, *runners[number], "pool");
  }
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  ClientLoad load;
  load.path_ = "/lepu270/2f";
  load.deadline_ms_ = 6000;
  load.clients_ = 36;
  load.extra_ = {{"Model", weights.model_},
                 {"Token-Counts", "979,100"},
                 {"Prompt-Prefix", "5c1e07a2:40,e4402b7d:939"}};
  Answers answers;
  Send(
      load, entries, kBefore, [] { return false; }, answers, record);
  deployment.store().Put("op/version/" + weights.model_,
                         {{"model", weights.model_}, {"version", 2}});
  older.OnNamed();
  record.Line("operator: version 2 is named");
  std::thread clients([&] {
    Send(
        load, entries, kAfter, [] { return false; }, answers, record);
  });
  if (deployment.trouble()) {
    KillAndRestart(deployment, older);
  }
  clients.join();
  record.Line(
      "answered 200: " + std::to_string(answers.CountOf(200)) +
      ", begun on version 1 too late: " + std::to_string(older.count()));
  if (answers.CountOf(200) == 0) {
    return kCouldNotRun;
  }
  return older.count() == 0 ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
