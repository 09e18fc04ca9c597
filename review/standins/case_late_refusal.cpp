// REFUSED: one answer too many, that of a refusal, arrives where the answer to
// the next request on the channel is due.
#include <atomic>

#include "clients.hpp"

namespace review {
namespace {

constexpr auto kTime = std::chrono::seconds(60);
/// A runner sends an answer too many for at most 3 in 100 of its answers.
constexpr int kAnswersPerExtra = 34;
/// Requests that the faulty runner takes at once; it has no queue.
constexpr int kSlots = 2;

/// A runner that refuses what exceeds its slots, and once repeats a refusal.
class FaultyRunner {
 public:
  FaultyRunner(Deployment& deployment, Runner& runner)
      : deployment_(deployment), runner_(runner) {
    runner.OnRequest([this](const ChannelPtr& channel, const Message& request) {
      return Handle(channel, request);
    });
  }

  /// @brief Whether the answer too many was sent a while ago.
  [[nodiscard]] bool done() const { return sent_extra_ && answers_ > last_; }

 private:
  bool Handle(const ChannelPtr& channel, const Message& request) {
    const auto refusal = ResponseText(503, {{"Not-Executed", "1"}}, "");
    const auto id = request.Header("attempt-id");
    ++answers_;
    std::unique_lock lock(mutex_);
    const bool refused_before = channel == refused_on_.lock();
    refused_on_.reset();
    if (active_ >= kSlots) {
      deployment_.record().Line("runner " + runner_.id() + ": refuses " + id);
      if (deployment_.trouble() && !sent_extra_ &&
          answers_ >= kAnswersPerExtra) {
        refused_on_ = channel;
      }
      return channel->Send(refusal);
    }
    ++active_;
    if (refused_before) {
      sent_extra_ = true;
      last_ = answers_ + kAnswersPerExtra;
      deployment_.record().Line("runner " + runner_.id() +
                                ": sends its last refusal once more, where "
                                "the answer to " +
                                id + " is due");
      channel->Send(refusal);
    }
    lock.unlock();
    const bool sent = runner_.Run(channel, request);
    lock.lock();
    --active_;
    return sent;
  }

  Deployment& deployment_;
  Runner& runner_;
  std::mutex mutex_;
  int active_ = 0;
  std::atomic<int> answers_ = 0;
  std::atomic<int> last_ = 0;
  std::atomic<bool> sent_extra_ = false;
  /// The channel whose last answer is sent once more.
  std::weak_ptr<Channel> refused_on_;
};

int Run(const std::vector<std::string>& arguments) {
  Deployment deployment(arguments);
  const auto runners = StartRunners(deployment, 3, {.service_ = "plain"});
  FaultyRunner faulty(deployment, *runners.front());
  deployment.store().Put(
      "op/config",
      Configuration(1, {{"/filo73/de11/", "non_idempotent", "plain"}},
                    std::nullopt, ""));
  deployment.SetSeeds({2, 3});
  std::vector<Address> entries;
  for (const int machine : {2, 3}) {
    entries.push_back(deployment.StartEntry(machine).front_);
  }
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  Answers answers;
  ClientLoad load;
  load.path_ = "/filo73/de11/2f";
  Send(
      load, entries, kTime, [&] { return faulty.done(); }, answers,
      deployment.record());
  if (deployment.trouble() && !faulty.done()) {
    return kCouldNotRun;
  }
  const auto broken = RefusedAndRun(answers, runners, deployment.record());
  deployment.record().Line(
      "answered 200: " + std::to_string(answers.CountOf(200)) +
      ", 503: " + std::to_string(answers.CountOf(503)) +
      ", refused and run: " + std::to_string(broken.size()));
  return broken.empty() ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
