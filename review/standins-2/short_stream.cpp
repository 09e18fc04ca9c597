// A faulty runner cuts a stream short inside an event and ends it as if it were
// complete. Rule MIXED: the client gets a success with a body other than the
// runner's, which looks complete.
#include <cstdio>

#include "world.hpp"

namespace {

using review::Milliseconds;

constexpr int kClients = 12;
/// Requests of each client.
constexpr int kRequests = 40;
constexpr int kEvents = 4;
constexpr Milliseconds kEventTime(15);
/// Of 25 answers of the faulty runners, the one that is cut short: 4 in 100.
constexpr int kCutEach = 25;
constexpr int kEntry = 10;
constexpr int kMachine = 40;
/// Runners, every second of which is faulty.
constexpr int kRunners = 4;
constexpr unsigned kSlots = 6;

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: token " +
         std::to_string(number) + "\n\n";
}

/// Bodies of the runner's answers, by the id of the attempt.
struct Sent {
  std::mutex mutex_;
  std::map<std::string, std::string> bodies_;
  int answers_ = 0;
  int cut_ = 0;
};

bool RunStream(const review::Request& request, review::Connection& connection,
               const review::Runner& runner, review::Record& record,
               bool faulty, Sent& sent) {
  const auto id = request.Header("attempt-id");
  std::string body;
  bool cut = false;
  {
    const std::lock_guard lock(sent.mutex_);
    cut = faulty && ++sent.answers_ % kCutEach == 0;
    sent.cut_ += cut ? 1 : 0;
    for (int event = 1; event <= (cut ? 0 : kEvents); ++event) {
      body += Event(event);
    }
    if (cut) {
      const auto event = Event(1);
      body += event.substr(0, event.size() - 4);
    }
    sent.bodies_[id] = body;
  }
  record.Write("runner " + runner.id() + ": runs " + id + ", sends " +
               std::to_string(body.size()) + " bytes" +
               (cut ? ", cut short inside an event" : ""));
  connection.Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                  "\r\nResponse-Seal: s." + runner.id() +
                  "\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
  const auto event_size = cut ? body.size() : body.size() / kEvents;
  for (std::size_t at = 0; at < body.size(); at += event_size) {
    std::this_thread::sleep_for(kEventTime);
    connection.Send(Chunk(body.substr(at, event_size)));
  }
  return connection.Send("0\r\n\r\n");
}

int Main(const std::string& folder) {
  const bool trouble = review::Trouble();
  review::World world(folder);
  Sent sent;
  world.PutConfig("", 0);
  std::vector<std::unique_ptr<review::Runner>> runners;
  for (int number = 0; number < kRunners; ++number) {
    runners.push_back(std::make_unique<review::Runner>(
        review::RunnerOptions{.ip_ = world.Ip(kMachine + number),
                              .service_ = "plain",
                              .slots_ = kSlots},
        *world.store_, world.record_));
    auto& runner = *runners.back();
    const bool faulty = trouble && number % 2 == 0;
    runner.OnRun([&, faulty](const auto& request, auto& connection) {
      return RunStream(request, connection, runner, world.record_, faulty,
                       sent);
    });
  }
  world.StartEntry(kEntry);
  if (!world.WaitReady(kEntry)) {
    return 2;
  }
  std::atomic<int> served{0};
  std::atomic<int> mixed{0};
  const auto ask = [&] {
    const auto answer = world.Send(kEntry, "POST", "/stream/2f", "", "prompt",
                                   Milliseconds(3000));
    const auto id = answer.headers_.contains("attempt-id")
                        ? answer.headers_.at("attempt-id")
                        : "";
    const std::lock_guard lock(sent.mutex_);
    const bool success = answer.status_ == 200 && answer.complete_;
    const bool other = success && answer.body_ != sent.bodies_[id];
    served += success ? 1 : 0;
    mixed += other ? 1 : 0;
    if (other) {
      world.record_.Write("client: " + id + " got 200, complete, seal " +
                          answer.headers_.at("response-seal") + ", " +
                          std::to_string(answer.body_.size()) +
                          " bytes, where the runner sent " +
                          std::to_string(sent.bodies_[id].size()));
    }
  };
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&] {
      for (int number = 0; number < kRequests; ++number) {
        ask();
      }
    });
  }
  for (auto& client : clients) {
    client.join();
  }
  world.record_.Write("result: " + std::to_string(served) + " served, " +
                      std::to_string(sent.cut_) + " answers cut short, " +
                      std::to_string(mixed) +
                      " successes with another body than the runner's");
  if (served < kClients * kRequests / 2) {
    return 2;
  }
  return mixed > 0 ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments) {
  return review::RunCase(
      [&] { return Main(review::FolderOf(count, arguments)); });
}
