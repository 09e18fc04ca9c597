// The check of refusals must find requests within their time, and only those.
#include "soak/retry_after_check.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace chalkwell::soak {
namespace {

using namespace std::chrono_literals;

TEST_CASE("requests in the time that a refusal asks for are found", "[soak]") {
  struct Row {
    std::string name_;
    std::function<void(RetryAfterCheck&)> between_;
    std::string entry_;
    /// When the requests arrive after the refusal, and how many.
    milliseconds at_;
    int count_;
    bool found_;
  };
  const auto nothing = [](RetryAfterCheck&) {};
  const auto row = GENERATE_COPY(
      Row{"two", nothing, "entry", 1s, 2, false},
      Row{"three", nothing, "entry", 1s, 3, true},
      Row{"before it must be kept", nothing, "entry", 499ms, 9, false},
      Row{"when it must be kept", nothing, "entry", 500ms, 9, true},
      Row{"after its end", nothing, "entry", 3s, 2, false},
      Row{"by another entry", nothing, "other", 1s, 1, false},
      Row{"by an entry that was restarted",
          [](RetryAfterCheck& check) { check.OnDisturbed("entry"); }, "entry",
          1s, 1, false},
      Row{"accepted again",
          [](RetryAfterCheck& check) { check.OnRefusing("endpoint", 0ms); },
          "entry", 3s, 9, false});
  INFO(row.name_);
  RetryAfterCheck check;
  const TimePoint start(1h);
  check.OnRefusing("endpoint", 3s);
  CHECK_FALSE(check.OnArrival("endpoint", "entry", start));
  CHECK(check.refusals() == 1);
  row.between_(check);
  bool found = false;
  for (int i = 0; i < row.count_; ++i) {
    found =
        check.OnArrival("endpoint", row.entry_, start + row.at_).has_value() ||
        found;
  }
  CHECK(found == row.found_);
}

}  // namespace
}  // namespace chalkwell::soak
