// Who reads a published list, and how often.
#include "chalkwell/membership/read_duty.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);

TEST_CASE("exactly one of a failure domain's members is elected",
          "[membership]") {
  const auto size = GENERATE(1U, 2U, 3U, 9U);
  std::vector<core::InstanceId> members;
  for (std::size_t i = 0; i < size; ++i) {
    members.emplace_back(std::to_string(i));
  }
  std::size_t elected = 0;
  for (const auto& member : members) {
    ReadDuty duty(member, {});
    duty.SetMembers(members);
    elected += duty.Elected() ? 1 : 0;
  }
  CHECK(elected == 1);
}

TEST_CASE("a member reads seldom only while it is told", "[membership]") {
  struct Row {
    bool elected_;
    std::optional<core::Duration> told_before_;
    core::Duration interval_;
  };
  const auto row =
      GENERATE(Row{true, std::nullopt, 600ms}, Row{true, 100ms, 600ms},
               Row{false, 100ms, 4000ms}, Row{false, 800ms, 4000ms},
               Row{false, 900ms, 600ms}, Row{false, std::nullopt, 600ms});
  const std::vector<core::InstanceId> members{core::InstanceId("a"),
                                              core::InstanceId("b")};
  ReadDuty first(members.front(), {});
  first.SetMembers(members);
  const auto self =
      first.Elected() == row.elected_ ? members.front() : members.back();
  ReadDuty duty(self, {});
  duty.SetMembers(members);
  if (row.told_before_) {
    duty.OnTold(kStart - *row.told_before_);
  }
  CHECK(duty.Interval(kStart) == row.interval_);
}

}  // namespace
}  // namespace chalkwell::membership
