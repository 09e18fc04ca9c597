// Servers that answer with bytes without end: the caller keeps a bounded part
// of them and does its other work.
#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../daemon/raw_socket.hpp"
#include "caller_crowd.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using daemon::RawListener;
using daemon::RawSocket;
using namespace std::chrono_literals;

constexpr std::size_t kMegabyte = 1'000'000;
/// Memory of the smallest machine of an agent is twice as large.
constexpr std::size_t kMaxMemory = 64 * kMegabyte;
/// Bytes that the server sends on one connection at most.
constexpr std::size_t kMaxSent = 400 * kMegabyte;
constexpr auto kObservedTime = 3s;

/// Responds to each request with bytes until the caller closes.
class EndlessServer {
 public:
  explicit EndlessServer(std::string head)
      : head_(std::move(head)), thread_([this] { Run(); }) {}
  ~EndlessServer() {
    stopped_ = true;
    const RawSocket wake(listener_.port());
    thread_.join();
    for (auto& responder : responders_) {
      responder.join();
    }
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  [[nodiscard]] std::string address() const {
    return LocalAddress(listener_.port());
  }
  [[nodiscard]] int responses() const { return responses_; }

 private:
  void Run() {
    while (true) {
      auto connection = listener_.Accept();
      if (stopped_) {
        return;
      }
      responders_.emplace_back(
          [this, socket = std::move(connection)] { Respond(socket); });
    }
  }
  void Respond(const RawSocket& socket) {
    if (socket.ReadUntil("\r\n\r\n").empty()) {
      return;
    }
    ++responses_;
    socket.Send(head_);
    const std::string part(std::size_t{1} << 16, 'x');
    for (std::size_t sent = 0; sent < kMaxSent && !stopped_;
         sent += part.size()) {
      if (!socket.TrySend(part)) {
        return;
      }
    }
  }

  std::string head_;
  RawListener listener_;
  std::atomic<bool> stopped_{false};
  std::atomic<int> responses_{0};
  std::vector<std::thread> responders_;
  std::thread thread_;
};

std::string EndlessHead() {
  return GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\n\r\n",
                  "HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n",
                  "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                  "ffffffffff\r\n",
                  "HTTP/1.1 503 Unavailable\r\n\r\n",
                  "HTTP/1.1 200 OK\r\nx: ", "");
}

TEST_CASE("an agent keeps the endless response of its engine",
          "[platform][foreign]") {
  const auto head = EndlessHead();
  CAPTURE(head);
  const EndlessServer engine(head);
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  NodeOptions options;
  options.seed_ = &entry;
  options.engine_address_ = engine.address();
  const auto agent = deployment.StartAgent("a1", options);
  REQUIRE(Eventually([&] { return engine.responses() > 0; }));
  std::this_thread::sleep_for(kObservedTime);
  CHECK(PeakResidentBytes(agent.child_.pid()) < kMaxMemory);
}

TEST_CASE("an entry keeps the endless responses of an endpoint",
          "[platform][foreign]") {
  const auto head = EndlessHead();
  CAPTURE(head);
  const EndlessServer endpoint(head);
  Deployment deployment;
  deployment.first_.SetAdvertisedAddress(endpoint.address());
  deployment.PutRows();
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  // Callers that do not read.
  std::vector<RawSocket> callers;
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back(entry.caller_port_);
    callers.back().Send(RequestText("/once/x"));
  }
  REQUIRE(Eventually([&] { return endpoint.responses() > 0; }));
  std::this_thread::sleep_for(kObservedTime);
  CHECK(PeakResidentBytes(entry.child_.pid()) < kMaxMemory);
  CHECK(Status(SendRequest(entry, RequestText("/safe/x"))) == "200");
}

}  // namespace
}  // namespace chalkwell::platform_tests
