// REFUSED: a runner runs a request, fails, and answers 503 without stating that
// it did not run it.
#include <atomic>
#include <thread>

#include "clients.hpp"

namespace review {
namespace {

/// One of them fails part of its requests.
constexpr int kRunners = 8;
constexpr auto kTime = std::chrono::milliseconds(6500);
/// Of 20 requests at the faulty runner, this many fail.
constexpr int kFailuresOf20 = 9;

int Run(const std::vector<std::string>& arguments) {
  Deployment deployment(arguments);
  const auto runners =
      StartRunners(deployment, kRunners, {.service_ = "plain"});
  std::atomic<int> requests = 0;
  std::atomic<int> failures = 0;
  auto& grey = *runners.front();
  grey.OnRequest([&](const ChannelPtr& channel, const Message& request) {
    const bool fails = deployment.trouble() && requests++ % 20 < kFailuresOf20;
    if (!fails) {
      return grey.Run(channel, request);
    }
    ++failures;
    const auto id = request.Header("attempt-id");
    grey.NoteRun(id);
    std::this_thread::sleep_for(Milliseconds(60));
    deployment.record().Line("runner " + grey.id() + ": fails " + id +
                             " and answers 503 without Not-Executed");
    return channel->Send(ResponseText(
        503, {{"Attempt-Id", id}, {"Response-Seal", "s." + grey.id()}},
        "failed"));
  });
  deployment.store().Put(
      "op/config",
      Configuration(1, {{"/filo73/de11/", "non_idempotent", "plain"}},
                    std::nullopt, ""));
  deployment.SetSeeds({2});
  const auto& entry = deployment.StartEntry(2);
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  Answers answers;
  ClientLoad load;
  load.path_ = "/filo73/de11/2f";
  Send(
      load, {entry.front_}, kTime, [] { return false; }, answers,
      deployment.record());
  if (answers.CountOf(200) == 0 || (deployment.trouble() && failures == 0)) {
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
