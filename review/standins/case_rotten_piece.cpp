// WHOLE: a staged piece turns bad while the agent verifies the others, which
// takes longer than the time for which the rule excuses a bad piece.
#include "clients.hpp"

namespace review {
namespace {

constexpr auto kExcused = Milliseconds(3000);
/// Time of a runner for one staged piece.
constexpr auto kStagingRead = Milliseconds(25);
constexpr auto kSilence = Milliseconds(1200);
/// The piece that turns bad, once the one below was read.
constexpr std::size_t kRottenPiece = 2;
constexpr std::size_t kReadBeforeRot = 4;
/// The runner falls silent after this piece was read.
constexpr std::size_t kReadBeforeSilence = 40;
constexpr int kRunners = 4;
constexpr auto kRolloutLimit = std::chrono::seconds(25);

/// Makes the disruption when the first agent begins to verify version 2.
class Disruption {
 public:
  explicit Disruption(Deployment& deployment) : deployment_(deployment) {}

  void Watch(Runner& runner) {
    runner.OnStagingRead(
        [this, &runner](std::size_t piece) { OnRead(runner, piece); });
  }
  [[nodiscard]] Runner* runner() {
    const std::lock_guard lock(mutex_);
    return runner_;
  }

 private:
  void OnRead(Runner& runner, std::size_t piece) {
    const std::lock_guard lock(mutex_);
    // Other agents also read single pieces, through this runner's agent.
    auto& sequence = sequences_[&runner];
    if (piece == 0) {
      sequence = {Clock::now(), 0};
    } else if (piece == sequence.last_ + 1) {
      ++sequence.last_;
    }
    const bool verifying =
        runner_ == &runner ||
        (runner_ == nullptr && sequence.last_ == kReadBeforeRot &&
         piece == kReadBeforeRot && runner.Staged(2) &&
         Clock::now() - sequence.begun_at_ <
             kStagingRead * 2 * static_cast<int>(kReadBeforeRot));
    if (!verifying) {
      return;
    }
    runner_ = &runner;
    if (piece == kReadBeforeRot && deployment_.trouble() && !rotten_) {
      rotten_ = true;
      runner.Rot(kRottenPiece);
    }
    if (piece == kReadBeforeSilence && !silent_) {
      silent_ = true;
      runner.FallSilent(kSilence);
    }
  }

  /// Pieces that were read one after the other, from the first on.
  struct Sequence {
    Clock::time_point begun_at_;
    std::size_t last_ = 0;
  };

  Deployment& deployment_;
  std::mutex mutex_;
  std::map<Runner*, Sequence> sequences_;
  /// The runner whose pieces are verified first.
  Runner* runner_ = nullptr;
  bool rotten_ = false;
  bool silent_ = false;
};

int Run(const std::vector<std::string>& arguments) {
  Deployment deployment(arguments);
  auto& record = deployment.record();
  const Weights weights;
  const Origin origin(deployment.Ip(10), weights, record);
  Disruption disruption(deployment);
  const auto runners = StartRunners(
      deployment, kRunners,
      {.service_ = "pool", .slots_ = 16, .staging_read_ = kStagingRead},
      weights);
  for (const auto& runner : runners) {
    disruption.Watch(*runner);
  }
  deployment.SetSeeds({2});
  deployment.store().Put(
      "op/config",
      Configuration(1, {{"/lepu270/", "streaming", "pool", 6000, 2, true}},
                    weights, origin.address()));
  const auto& entry = deployment.StartEntry(2);
  for (int number = 0; number < kRunners; ++number) {
    deployment.StartAgent(20 + number, *runners[number], "pool");
  }
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  Answers answers;
  ClientLoad load;
  load.path_ = "/lepu270/2f";
  load.deadline_ms_ = 6000;
  load.clients_ = 4;
  load.extra_ = {{"Model", weights.model_},
                 {"Token-Counts", "979,40"},
                 {"Prompt-Prefix", "5c1e07a2:40,e4402b7d:939"}};
  Send(
      load, {entry.front_}, std::chrono::seconds(3), [] { return false; },
      answers, record);
  deployment.store().Put("op/version/" + weights.model_,
                         {{"model", weights.model_}, {"version", 2}});
  record.Line("operator: version 2 is named");
  const auto loaded = [&] {
    auto* runner = disruption.runner();
    return runner != nullptr && runner->version() == 2 &&
           runner->runs_since_order() > 0;
  };
  Send(load, {entry.front_}, kRolloutLimit, loaded, answers, record);
  auto* runner = disruption.runner();
  if (!loaded() || answers.CountOf(200) == 0) {
    return kCouldNotRun;
  }
  const auto bad = runner->TakenBad(kExcused);
  for (const auto piece : bad) {
    record.Line("broken: runner " + runner->id() + " took piece " +
                std::to_string(piece) + " more than " +
                std::to_string(kExcused.count()) +
                " ms after it had turned bad, and made a token");
  }
  return bad.empty() ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
