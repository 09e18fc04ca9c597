// Datagrams between the system's processes.
#include "daemon/direct/mesh_messages.hpp"

#include <catch2/catch.hpp>

#include "daemon/messages.hpp"

namespace chalkwell::daemon::direct {
namespace {

using namespace std::chrono_literals;

TEST_CASE("a report's path delay counts both ways of the endpoint's link",
          "[daemon]") {
  // Seen: a link filled by pieces of weights held a request back for 1.6 s, so
  // that it began on weights that were no longer allowed. The agent had told
  // the delay; the entry took only the delay of the report itself.
  struct Row {
    std::uint32_t inbound_ms_;
    core::Duration outbound_;
    core::Duration delay_;
  };
  const auto row = GENERATE(Row{0, 0ms, 0ms}, Row{1600, 0ms, 1600ms},
                            Row{0, 40ms, 40ms}, Row{300, 40ms, 340ms});
  LoadMessage message;
  message.inbound_ms_ = row.inbound_ms_;
  CHECK(ToReport(message, row.outbound_).path_delay_ == row.delay_);
}

TEST_CASE("a report survives the wire", "[daemon]") {
  LoadMessage sent;
  sent.endpoint_ = "10.0.0.1:80";
  sent.active_ = 3;
  sent.queued_ = 2;
  sent.accepting_ = false;
  sent.version_ = 7;
  sent.slowdown_ = 1500;
  const auto got = Unpack<LoadMessage>(Pack(sent), "peer");
  CHECK(got.endpoint_ == sent.endpoint_);
  const auto report = ToReport(got, 0ms);
  CHECK(report.active_ == 3);
  CHECK(report.queued_ == 2);
  CHECK_FALSE(report.accepting_);
  CHECK(report.weights_version_ == std::uint64_t{7});
  CHECK(report.slowdown_ == Approx(1.5));
}

TEST_CASE("a list's age counts from the store's answer on, whatever is told",
          "[daemon]") {
  struct Row {
    std::uint64_t age_ms_;
    core::Duration age_;
  };
  // None of them makes a list newer than its telling.
  const auto row = GENERATE(Row{0, 0ms}, Row{700, 700ms}, Row{3'600'001, 1h},
                            Row{~std::uint64_t{0}, 1h});
  const core::TimePoint sent_at(5h);
  EndpointListMessage message;
  message.age_ms_ = row.age_ms_;
  const auto change = ToChange(message, sent_at);
  CHECK(change.as_of_ == sent_at - row.age_);
  const auto onward = ToMessage(change, sent_at + 1500us);
  CHECK(ToChange(onward, sent_at + 1500us).as_of_ <=
        std::max(change.as_of_, sent_at + 1500us - 1h));
}

TEST_CASE("weights that are not whole are told as none", "[daemon]") {
  CHECK_FALSE(ToReport(LoadMessage{}, 0ms).weights_version_.has_value());
}

}  // namespace
}  // namespace chalkwell::daemon::direct
