// A runner falls silent for a second as an order is on its way to it, and the
// operator names the next version meanwhile. Rule WHOLE: a token made by layers
// that were taken from pieces of another version.
#include <array>
#include <cstdio>

#include "world.hpp"

namespace {

using review::Milliseconds;

constexpr std::size_t kPieces = 96;
/// What the origin's 7.3 Mbit/s need for a piece.
constexpr Milliseconds kPieceTime(27);
constexpr Milliseconds kSilence(1000);
/// From the arrival of an order until the operator names the next version.
constexpr Milliseconds kNamedAfter(50);
constexpr std::uint64_t kLastVersion = 8;
constexpr auto kLimit = std::chrono::seconds(100);
constexpr int kEvents = 8;
constexpr Milliseconds kEventTime(20);
constexpr int kEntry = 10;
constexpr int kMachine = 40;

/// Counts tokens of runners, and those that unsound layers made.
struct Tokens {
  std::atomic<int> made_{0};
  std::atomic<int> unsound_{0};
};

bool RunStream(const review::Request& request, review::Connection& connection,
               const review::Runner& runner, review::Record& record,
               Tokens& tokens) {
  const auto id = request.Header("attempt-id");
  const auto wrong = runner.Unsound();
  record.Write("runner " + runner.id() + ": runs " + id + " on version " +
               std::to_string(runner.version()) +
               (wrong.empty() ? "" : ", with pieces of another: " + wrong));
  connection.Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                  "\r\nResponse-Seal: s." + runner.id() +
                  "\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
  for (int event = 1; event <= kEvents; ++event) {
    std::this_thread::sleep_for(kEventTime);
    ++tokens.made_;
    tokens.unsound_ += wrong.empty() ? 0 : 1;
    const std::string text = "id: " + std::to_string(event) + "\ndata: t\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    if (!connection.Send(size.data() + text + "\r\n")) {
      return false;
    }
  }
  return connection.Send("0\r\n\r\n");
}

int Main(const std::string& folder) {
  const bool trouble = review::Trouble();
  review::World world(folder);
  review::Origin origin(world.Ip(201), kPieces, kPieceTime, world.record_);
  Tokens tokens;
  std::atomic<std::uint64_t> named{1};
  std::mutex naming;
  std::vector<std::thread> operators;
  world.PutConfig(origin.address(), kPieces);
  review::Runner runner({.ip_ = world.Ip(kMachine),
                         .service_ = "pool",
                         .pieces_ = kPieces,
                         .version_ = 1},
                        *world.store_, world.record_);
  runner.OnRun([&](const auto& request, auto& connection) {
    return RunStream(request, connection, runner, world.record_, tokens);
  });
  const auto name_next = [&] {
    const auto version = ++named;
    origin.SetNewest(version);
    world.NameVersion(version);
  };
  runner.OnOrder([&] {
    if (trouble) {
      world.record_.Write("runner " + runner.id() + ": falls silent for " +
                          std::to_string(kSilence.count()) + " ms");
      runner.FallSilent(kSilence);
    }
    if (named < kLastVersion) {
      const std::lock_guard lock(naming);
      operators.emplace_back([&] {
        std::this_thread::sleep_for(kNamedAfter);
        name_next();
      });
    }
  });
  world.StartEntry(kEntry);
  world.StartAgent(kMachine, "pool");
  const auto until = review::Clock::now() + kLimit;
  int served = 0;
  if (world.WaitReady(kEntry)) {
    std::this_thread::sleep_for(Milliseconds(1500));
    name_next();
    while (review::Clock::now() < until && (runner.version() < kLastVersion) &&
           tokens.unsound_ == 0) {
      const auto answer =
          world.Send(kEntry, "POST", "/pool/2f",
                     "Model: " + review::kModel +
                         "\r\nToken-Counts: 200,40\r\nPrompt-Prefix: "
                         "5c1e07a2:40,91bd3f06:160\r\n",
                     "prompt", Milliseconds(6000));
      served += answer.status_ == 200 ? 1 : 0;
      std::this_thread::sleep_for(Milliseconds(100));
    }
  }
  for (auto& thread : operators) {
    thread.join();
  }
  const bool ran = served > 0 && runner.orders() > 0;
  world.record_.Write("result: " + std::to_string(served) +
                      " streams served, " + std::to_string(runner.orders()) +
                      " orders taken, " + std::to_string(tokens.made_) +
                      " events made, " + std::to_string(tokens.unsound_) +
                      " of them by unsound layers");
  if (!ran) {
    return 2;
  }
  return tokens.unsound_ > 0 ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments) {
  return review::RunCase(
      [&] { return Main(review::FolderOf(count, arguments)); });
}
