// Each client has a thread and, while the entry keeps it open, one channel.
#include "clients.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

namespace review {
namespace {

bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void Answers::Add(const std::string& id, int status) {
  const std::lock_guard lock(mutex_);
  statuses_[id] = status;
}

std::map<std::string, int> Answers::statuses() {
  const std::lock_guard lock(mutex_);
  return statuses_;
}

std::size_t Answers::CountOf(int status) {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(std::ranges::count_if(
      statuses_,
      [status](const auto& answer) { return answer.second == status; }));
}

void Send(const ClientLoad& load, const std::vector<Address>& entries,
          Milliseconds time, const std::function<bool()>& until,
          Answers& answers, Record& record) {
  static std::atomic<std::uint64_t> next_id = 1;
  const auto end = Clock::now() + time;
  const auto run_client = [&](std::size_t client) {
    ChannelPtr channel;
    while (Clock::now() < end && !until()) {
      if (channel == nullptr) {
        channel = Channel::Connect(entries[client % entries.size()]);
      }
      const auto id = RequestId(next_id++);
      record.Line("client " + std::to_string(client) + ": sends " + id);
      std::optional<Message> answer;
      if (channel != nullptr &&
          channel->Send(RequestText(load.method_, load.path_, id,
                                    load.deadline_ms_, load.body_,
                                    load.extra_))) {
        answer = channel->Read(MessageKind::kResponse,
                               Milliseconds(load.deadline_ms_ + 1000));
      }
      const bool whole = answer && answer->complete_;
      const int status = whole ? answer->Status() : 0;
      answers.Add(id, status);
      record.Line("client " + std::to_string(client) + ": " + id +
                  " is answered " + std::to_string(status));
      if (!whole || answer->Header("connection") == "close") {
        channel = nullptr;
      }
      std::this_thread::sleep_for(load.pause_);
      if (answer && !answer->Header("retry-after").empty()) {
        std::this_thread::sleep_for(std::chrono::duration<double>(
            std::stod(answer->Header("retry-after"))));
      }
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t client = 0; client < load.clients_; ++client) {
    threads.emplace_back(run_client, client);
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

std::vector<std::string> RefusedAndRun(
    Answers& answers, const std::vector<std::unique_ptr<Runner>>& runners,
    Record& record) {
  std::vector<std::string> broken;
  for (const auto& [id, status] : answers.statuses()) {
    for (const auto& runner : runners) {
      if (IsPromise(status) && runner->runs().contains(id)) {
        record.Line("broken: " + id + " was answered " +
                    std::to_string(status) + " and has run at " + runner->id());
        broken.push_back(id);
      }
    }
  }
  return broken;
}

}  // namespace review
