// Sound endpoints that send nothing for longer than an entry expects and then
// go on, with a real entry.
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "../daemon/raw_socket.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using daemon::RawSocket;
using standins::Behaviour;
using standins::EndpointStandin;
using namespace std::chrono_literals;

/// Longer than an entry waits for an event or for a first byte.
constexpr auto kPause = 1600ms;

/// At the first arrival at either endpoint, sets what the other one does.
void SetOther(EndpointStandin& first, EndpointStandin& second,
              Behaviour behaviour) {
  // Called on the loop of the endpoints.
  const auto set = [behaviour, arrived = std::make_shared<bool>(false)](
                       EndpointStandin& other) {
    if (!std::exchange(*arrived, true)) {
      other.SetBehaviour(behaviour);
      other.SetRunDelay(0ms);
    }
  };
  first.OnArrival([&second, set](const std::string&) { set(second); });
  second.OnArrival([&first, set](const std::string&) { set(first); });
}

struct Row {
  std::string name_;
  std::string path_;
  /// Of streams; none for a pause before the response.
  std::optional<std::uint64_t> events_before_pause_;
  /// What the other endpoint does once one is silent.
  Behaviour other_;
  int retry_share_ = 1;
};

std::string RequestSilentEndpoint(const Row& row) {
  Deployment deployment;
  for (auto* endpoint : {&deployment.first_, &deployment.second_}) {
    if (row.events_before_pause_) {
      endpoint->SetSilence({*row.events_before_pause_, kPause});
    } else {
      endpoint->SetRunDelay(kPause);
    }
  }
  SetOther(deployment.first_, deployment.second_, row.other_);
  NodeOptions options;
  options.retry_share_ = row.retry_share_;
  const auto entry =
      deployment.StartEntry("e1", deployment.store_.address(), options);
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const RawSocket caller(entry.caller_port_);
  caller.Send(RequestText(row.path_));
  return caller.ReadUntil();
}

TEST_CASE("a response is cut off while its silent endpoint is about to go on",
          "[platform][silent]") {
  const auto row = GENERATE(
      Row{"the other endpoint refuses", "/stream/x", 2, Behaviour::kShed},
      Row{"the other endpoint resets", "/stream/x", 2, Behaviour::kReset},
      Row{"the other endpoint fails", "/stream/x", 2, Behaviour::kFail},
      Row{"the other endpoint rejects", "/stream/x", 2, Behaviour::kReject},
      Row{"the other endpoint hangs", "/stream/x", 2, Behaviour::kHang},
      Row{"no retry is left", "/stream/x", 2, Behaviour::kServe, 0},
      Row{"the other endpoint resumes", "/stream/x", 2, Behaviour::kServe},
      Row{"before the first event", "/stream/x", 0, Behaviour::kShed},
      Row{"before the response", "/stream/x", std::nullopt, Behaviour::kShed});
  CAPTURE(row.name_);
  const auto response = RequestSilentEndpoint(row);
  CHECK(Status(response) == "200");
  CHECK(standins::CountEvents(response) == standins::kStreamEvents);
  CHECK(response.ends_with("0\r\n\r\n"));
}

TEST_CASE("a request fails while its silent endpoint is about to respond",
          "[platform][silent]") {
  const auto row = GENERATE(
      Row{"the other endpoint refuses", "/safe/x", {}, Behaviour::kShed},
      Row{"the other endpoint resets", "/safe/x", {}, Behaviour::kReset},
      Row{"the other endpoint fails", "/safe/x", {}, Behaviour::kFail},
      Row{"the other endpoint hangs", "/safe/x", {}, Behaviour::kHang},
      Row{"no retry is left", "/safe/x", {}, Behaviour::kServe, 0},
      Row{"the other endpoint responds", "/safe/x", {}, Behaviour::kServe},
      Row{"it may not be repeated", "/once/x", {}, Behaviour::kServe});
  CAPTURE(row.name_);
  const auto response = RequestSilentEndpoint(row);
  CHECK(Status(response) == "200");
  CHECK(response.ends_with("answer to body"));
}

TEST_CASE("a denied retry counts at each check of a silent attempt",
          "[platform][silent]") {
  Deployment deployment;
  for (auto* endpoint : {&deployment.first_, &deployment.second_}) {
    endpoint->SetRunDelay(kPause);
  }
  NodeOptions options;
  options.retry_share_ = 0;
  const auto entry =
      deployment.StartEntry("e1", deployment.store_.address(), options);
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  CHECK(Status(SendRequest(entry, RequestText("/safe/x"))) == "200");
  const RawSocket admin(entry.admin_port_);
  admin.Send("GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  const auto metrics = admin.ReadUntil();
  CHECK(metrics.find("chalkwell_retries_denied_total{cause=\"silent\","
                     "service=\"plain\"} 1\n") != std::string::npos);
}

TEST_CASE("a response without an end holds up its request",
          "[platform][silent]") {
  const std::string path = GENERATE("/stream/x", "/safe/x");
  CAPTURE(path);
  Deployment deployment;
  deployment.first_.SetBehaviour(Behaviour::kEndless);
  deployment.second_.SetBehaviour(Behaviour::kEndless);
  SetOther(deployment.first_, deployment.second_, Behaviour::kServe);
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const RawSocket caller(entry.caller_port_);
  caller.Send(RequestText(path));
  const auto response = caller.ReadUntil();
  CHECK(Status(response) == "200");
  if (path == "/stream/x") {
    CHECK(standins::CountEvents(response) == standins::kStreamEvents);
    CHECK(response.ends_with("0\r\n\r\n"));
  } else {
    CHECK(response.ends_with("answer to body"));
  }
  CHECK(Eventually([&] {
    return deployment.first_.cancelled() + deployment.second_.cancelled() == 1;
  }));
}

TEST_CASE("a cut stream ends with the body of a response that is no stream",
          "[platform][silent]") {
  Deployment deployment;
  for (auto* endpoint : {&deployment.first_, &deployment.second_}) {
    endpoint->SetBehaviour(Behaviour::kTruncateStream);
  }
  SetOther(deployment.first_, deployment.second_, Behaviour::kReject);
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const RawSocket caller(entry.caller_port_);
  caller.Send(RequestText("/stream/x"));
  const auto response = caller.ReadUntil();
  CHECK(standins::CountEvents(response) == standins::kStreamEvents / 2);
  CHECK(response.find("rejected") == std::string::npos);
  CHECK_FALSE(response.ends_with("0\r\n\r\n"));
}

}  // namespace
}  // namespace chalkwell::platform_tests
