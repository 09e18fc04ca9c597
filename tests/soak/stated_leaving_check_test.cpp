// The check of stated departures must find requests that come too late, and
// only those.
#include "soak/stated_leaving_check.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace chalkwell::soak {
namespace {

using namespace std::chrono_literals;

TEST_CASE("requests to an endpoint that stated that it leaves are found",
          "[soak]") {
  struct Row {
    std::string name_;
    std::function<void(StatedLeavingCheck&)> between_;
    std::string entry_;
    milliseconds at_;
    bool found_;
  };
  const auto nothing = [](StatedLeavingCheck&) {};
  const auto row = GENERATE_COPY(
      Row{"at the bound", nothing, "entry", 2000ms, false},
      Row{"after the bound", nothing, "entry", 2001ms, true},
      Row{"by another entry", nothing, "other", 9s, false},
      Row{"by an entry that was restarted",
          [](StatedLeavingCheck& check) { check.OnDisturbed("entry"); },
          "entry", 9s, false},
      Row{"at the next incarnation",
          [](StatedLeavingCheck& check) { check.OnListed("endpoint"); },
          "entry", 9s, false});
  INFO(row.name_);
  StatedLeavingCheck check(2000ms);
  const TimePoint start(1h);
  check.OnStated("endpoint");
  CHECK_FALSE(check.OnArrival("endpoint", "first", "entry", start));
  check.OnResponse("first", start);
  CHECK(check.forwarded() == 1);
  row.between_(check);
  CHECK(check.OnArrival("endpoint", "later", row.entry_, start + row.at_)
            .has_value() == row.found_);
}

TEST_CASE("a response of another endpoint states nothing of the leaving one",
          "[soak]") {
  StatedLeavingCheck check(2000ms);
  const TimePoint start(1h);
  check.OnStated("endpoint");
  CHECK_FALSE(check.OnArrival("endpoint", "first", "entry", start));
  CHECK_FALSE(check.OnArrival("another", "first", "entry", start));
  check.OnResponse("first", start);
  CHECK(check.forwarded() == 0);
}

}  // namespace
}  // namespace chalkwell::soak
