// Responses of endpoints that only the end of their connection delimits, with a
// real entry: callers must be able to tell a truncated one from a complete one.
#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <vector>

#include "../daemon/raw_socket.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using daemon::RawSocket;
using standins::Behaviour;
using standins::Framing;
using standins::StreamCut;
using standins::StreamForm;

constexpr auto kEvents = standins::kStreamEvents;
/// Pause of an endpoint within a stream, longer than its entry runs on.
constexpr std::chrono::milliseconds kSilence(10'000);
/// More than an entry buffers of a response that is no stream.
constexpr std::size_t kLargeBody = 100'000;

/// What ends a response at the caller.
enum class End : std::uint8_t { kLength, kLastChunk, kClose, kReset };

struct CallerResponse {
  std::string status_;
  /// Events that it holds in order, counted up to the first missing one.
  std::uint64_t events_ = 0;
  End end_ = End::kReset;
};

End EndOf(const std::string& response, bool reset) {
  const auto head = response.substr(0, response.find("\r\n\r\n"));
  if (head.find("content-length:") != std::string::npos) {
    return End::kLength;
  }
  if (head.find("transfer-encoding: chunked") != std::string::npos) {
    return response.ends_with("0\r\n\r\n") ? End::kLastChunk : End::kReset;
  }
  return reset ? End::kReset : End::kClose;
}

CallerResponse Send(const Node& entry, const std::string& path) {
  const RawSocket caller(entry.caller_port_);
  caller.Send(RequestText(path));
  const auto response = caller.ReadUntil();
  return {.status_ = Status(response),
          .events_ = standins::CountEvents(response),
          .end_ = EndOf(response, caller.reset())};
}

TEST_CASE("a truncated stream without a length does not look complete",
          "[platform][unframed]") {
  constexpr auto kNoLength = Framing::kConnectionEnd;
  constexpr auto kChunks = Framing::kMessage;
  struct Row {
    std::string name_;
    StreamForm form_;
    StreamForm resumed_form_;
    std::string status_;
    std::uint64_t events_;
    End end_;
  };
  const auto row =
      GENERATE_COPY(Row{"complete",
                        {kNoLength, StreamCut::kNone},
                        {},
                        "200",
                        kEvents,
                        End::kClose},
                    Row{"cut inside an event, then resumed",
                        {kNoLength, StreamCut::kInsideEvent},
                        {kNoLength, StreamCut::kNone},
                        "200",
                        kEvents,
                        End::kClose},
                    Row{"cut inside an event, then resumed in chunks",
                        {kNoLength, StreamCut::kInsideEvent},
                        {kChunks, StreamCut::kNone},
                        "200",
                        kEvents,
                        End::kClose},
                    Row{"in chunks, cut, then resumed without a length",
                        {kChunks, StreamCut::kInsideEvent},
                        {kNoLength, StreamCut::kNone},
                        "200",
                        kEvents,
                        End::kReset},
                    Row{"cut inside an event twice",
                        {kNoLength, StreamCut::kInsideEvent},
                        {kNoLength, StreamCut::kInsideEvent},
                        "200",
                        kEvents / 2,
                        End::kReset},
                    Row{"cut before the first event twice",
                        {kNoLength, StreamCut::kBeforeFirstEvent},
                        {},
                        "502",
                        0,
                        End::kLength},
                    Row{"cut between two events, like a complete one",
                        {kNoLength, StreamCut::kBetweenEvents},
                        {},
                        "200",
                        kEvents / 2,
                        End::kClose});
  CAPTURE(row.name_);
  Deployment deployment;
  for (auto* endpoint : {&deployment.first_, &deployment.second_}) {
    endpoint->SetStreamForm(row.form_, row.resumed_form_);
  }
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto response = Send(entry, "/stream/x");
  CHECK(response.status_ == row.status_);
  CHECK(response.events_ == row.events_);
  CHECK(response.end_ == row.end_);
}

TEST_CASE("a stream cut off by the end of its entry does not look complete",
          "[platform][unframed]") {
  struct Row {
    std::string name_;
    std::vector<int> signals_;
  };
  const auto row = GENERATE(Row{"killed", {SIGKILL}}, Row{"aborted", {SIGABRT}},
                            Row{"stopped at once", {SIGTERM, SIGTERM}});
  const std::string version = GENERATE("HTTP/1.0", "HTTP/1.1");
  CAPTURE(row.name_, version);
  Deployment deployment;
  for (auto* endpoint : {&deployment.first_, &deployment.second_}) {
    endpoint->SetStreamForm({Framing::kConnectionEnd, StreamCut::kNone}, {});
    endpoint->SetSilence({.after_events_ = kEvents / 2, .duration_ = kSilence});
  }
  auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  auto request = RequestText("/stream/x");
  request.replace(request.find("HTTP/1.1"), version.size(), version);
  const RawSocket caller(entry.caller_port_);
  caller.Send(request);
  auto response =
      caller.ReadUntil("token-" + std::to_string(kEvents / 2) + "\n\n");
  REQUIRE(standins::CountEvents(response) == kEvents / 2);
  for (const int signal : row.signals_) {
    entry.child_.Signal(signal);
    // Signals that are pending together are delivered as one.
    REQUIRE(Eventually([&] { return !entry.Ready(); }));
  }
  response += caller.ReadUntil();
  CHECK(EndOf(response, caller.reset()) == End::kReset);
  CHECK(entry.child_.Wait(kSilence));
}

TEST_CASE("a response without a length gets none on the way to the caller",
          "[platform][unframed]") {
  struct Row {
    std::string path_;
    Behaviour behaviour_;
    std::size_t body_size_;
    std::string status_;
  };
  const auto row =
      GENERATE(Row{"/safe/x", Behaviour::kServe, 0, "200"},
               Row{"/safe/x", Behaviour::kServe, kLargeBody, "200"},
               Row{"/once/x", Behaviour::kFail, 0, "500"},
               Row{"/safe/x", Behaviour::kFail, 0, "500"});
  CAPTURE(row.path_, static_cast<int>(row.behaviour_), row.body_size_);
  Deployment deployment;
  for (auto* endpoint : {&deployment.first_, &deployment.second_}) {
    endpoint->SetFraming(Framing::kConnectionEnd);
    endpoint->SetBehaviour(row.behaviour_);
    endpoint->SetBodySize(row.body_size_);
  }
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto response = Send(entry, row.path_);
  CHECK(response.status_ == row.status_);
  CHECK(response.end_ == End::kClose);
}

}  // namespace
}  // namespace chalkwell::platform_tests
