// MIXED: an entry is killed while it passes on streams without a length; what
// its clients got ends in order, like a whole answer.
#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <thread>

#include "clients.hpp"

namespace review {
namespace {

constexpr int kRunners = 8;
constexpr int kEvents = 20;
constexpr auto kEventGap = Milliseconds(100);
/// One in so many answers comes without a length or chunks.
constexpr int kUnframedOneIn = 20;
/// Entries in the three failure domains; one of them is killed.
constexpr std::array<const char*, 7> kZones{
    "pl-hall-a", "pl-hall-a", "pl-hall-a", "gb-hall-a",
    "gb-hall-a", "mb-hall-a", "mb-hall-a"};
constexpr std::size_t kClients = 10 * kZones.size();
/// Requests of a client, by which identities are told apart.
constexpr std::uint64_t kMaxRequests = 1000;
/// From the start of the load until the kill may come.
constexpr auto kWarmUp = std::chrono::seconds(5);
/// From the begin of a stream without a length at that entry to the kill.
constexpr auto kKillDelay = Milliseconds(1000);
constexpr auto kTime = std::chrono::seconds(20);

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) +
         "\n\n";
}

/// Streams of which some end with their channel.
class Streams {
 public:
  explicit Streams(Record& record) : record_(record) {}

  bool Run(Runner& runner, const ChannelPtr& channel, const Message& request) {
    const auto id = request.Header("attempt-id");
    const bool unframed = ++answers_ % kUnframedOneIn == 0;
    runner.NoteRun(id);
    if (unframed) {
      record_.Line("runner " + runner.id() + ": answers " + id +
                   " without a length");
      if (ClientOf(id) % kZones.size() == 0) {
        ++unframed_at_first_;
      }
    }
    const std::string framing =
        unframed ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n";
    bool sent = channel->Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                              "\r\nResponse-Seal: s." + runner.id() +
                              "\r\nContent-Type: text/event-stream\r\n" +
                              framing + "\r\n");
    for (int event = 1; sent && event <= kEvents; ++event) {
      std::this_thread::sleep_for(kEventGap);
      sent = channel->Send(Framed(Event(event), unframed));
    }
    if (sent && !unframed) {
      sent = channel->Send("0\r\n\r\n");
    }
    return sent && !unframed;
  }
  /// @brief Streams without a length that began at clients of the first entry.
  [[nodiscard]] int unframed_at_first() const { return unframed_at_first_; }

 private:
  static std::size_t ClientOf(const std::string& id) {
    return std::stoull(id.substr(8), nullptr, 16) / kMaxRequests;
  }
  static std::string Framed(const std::string& event, bool unframed) {
    if (unframed) {
      return event;
    }
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", event.size());
    return std::string(size.data()) + "\r\n" + event + "\r\n";
  }

  Record& record_;
  std::atomic<int> answers_ = 0;
  std::atomic<int> unframed_at_first_ = 0;
};

/// What a client makes of an answer.
class Check {
 public:
  explicit Check(Record& record) : record_(record) {}

  void OnAnswer(const std::string& id, const std::optional<Message>& answer) {
    if (!answer || answer->Status() != 200) {
      record_.Line(id + " is answered " +
                   std::to_string(answer ? answer->Status() : 0));
      return;
    }
    int events = 0;
    while (answer->body_.find(Event(events + 1)) != std::string::npos) {
      ++events;
    }
    const bool early = events < kEvents;
    record_.Line(id + " is answered 200, " + std::to_string(events) +
                 " events, " +
                 (answer->close_delimited_ ? "no length, " : "chunks, ") +
                 (answer->complete_ ? "ends in order" : "is broken off"));
    if (!early) {
      ++whole_;
    } else if (answer->complete_) {
      ++broken_;
      record_.Line("broken: " + id + " looks complete with " +
                   std::to_string(events) + " of " + std::to_string(kEvents) +
                   " events");
    }
  }
  [[nodiscard]] int broken() const { return broken_; }
  [[nodiscard]] int whole() const { return whole_; }

 private:
  Record& record_;
  std::atomic<int> broken_ = 0;
  std::atomic<int> whole_ = 0;
};

void RunClient(const Address& entry, std::size_t client, Check& check) {
  const auto end = Clock::now() + kTime;
  // Clients do not begin all at once.
  std::this_thread::sleep_for(Milliseconds(client * 25));
  for (std::uint64_t number = 0; Clock::now() < end; ++number) {
    const auto channel = Channel::Connect(entry);
    const auto id = RequestId(client * kMaxRequests + number);
    if (channel == nullptr ||
        !channel->Send(RequestText("POST", "/lepu270/2f", id, 6000, "{}"))) {
      std::this_thread::sleep_for(kEventGap);
      continue;
    }
    check.OnAnswer(id,
                   channel->Read(MessageKind::kResponse, Milliseconds(7000)));
    std::this_thread::sleep_for(kEventGap);
  }
}

int Run(const std::vector<std::string>& arguments) {
  Deployment deployment(arguments);
  auto& record = deployment.record();
  Streams streams(record);
  const auto runners =
      StartRunners(deployment, kRunners, {.service_ = "plain", .slots_ = 16});
  for (const auto& runner : runners) {
    runner->OnRequest(
        [&streams, &runner](const ChannelPtr& channel, const Message& request) {
          return streams.Run(*runner, channel, request);
        });
  }
  deployment.store().Put(
      "op/config",
      Configuration(1, {{"/lepu270/", "streaming", "plain", 6000, 2, true}},
                    std::nullopt, ""));
  deployment.SetSeeds({2, 5, 7});
  std::vector<Address> entries;
  for (std::size_t number = 0; number < kZones.size(); ++number) {
    entries.push_back(
        deployment.StartEntry(2 + static_cast<int>(number), kZones[number])
            .front_);
  }
  if (!deployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  Check check(record);
  std::vector<std::thread> clients;
  for (std::size_t client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      RunClient(entries[client % entries.size()], client, check);
    });
  }
  if (deployment.trouble()) {
    std::this_thread::sleep_for(kWarmUp);
    const auto begun = streams.unframed_at_first();
    const auto until = Clock::now() + kTime / 2;
    while (streams.unframed_at_first() == begun && Clock::now() < until) {
      std::this_thread::sleep_for(kEventGap);
    }
    std::this_thread::sleep_for(kKillDelay);
    deployment.KillOne("entry-2");
  }
  for (auto& client : clients) {
    client.join();
  }
  record.Line("whole: " + std::to_string(check.whole()) +
              ", early and complete to see: " + std::to_string(check.broken()));
  if (check.whole() == 0) {
    return kCouldNotRun;
  }
  return check.broken() == 0 ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
