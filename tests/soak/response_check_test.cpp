// The check of incomplete responses must count those that an entry caused, and
// only those.
#include "soak/response_check.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace chalkwell::soak {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kSent(1h);
constexpr auto kTimeout = 6s;

struct Row {
  std::string name_;
  /// What happens besides that request "r" is sent to "entry" and arrives at
  /// "endpoint" 10 ms later.
  std::function<void(ResponseCheck&)> besides_;
  /// When the connection ends after the request was sent, and how often.
  milliseconds ended_;
  int count_;
  bool found_;
};

/// @return whether the last of the incomplete responses is a finding.
bool Find(const Row& row, ResponseCheck& check, bool arrives) {
  bool found = false;
  for (int i = 0; i < row.count_; ++i) {
    check.OnSent("r", "entry", kTimeout, kSent);
    if (arrives) {
      check.OnArrival("endpoint", "r", kSent + 10ms);
    }
    row.besides_(check);
    found = check.OnIncomplete("r", true, kSent + row.ended_).has_value();
    check.OnEnded("r");
  }
  return found;
}

TEST_CASE("responses that an entry cuts off are found", "[soak]") {
  const auto nothing = [](ResponseCheck&) {};
  const auto disturbed = [](const std::string& entry, milliseconds at) {
    return [=](ResponseCheck& check) { check.OnDisturbed(entry, kSent + at); };
  };
  const auto broken = [](const std::string& endpoint, milliseconds at) {
    return [=](ResponseCheck& check) { check.OnBreaks(endpoint, kSent + at); };
  };
  const auto row = GENERATE_COPY(
      Row{"three", nothing, 1s, 3, false}, Row{"four", nothing, 1s, 4, true},
      Row{"before the timeout", nothing, kTimeout - 1ms, 4, true},
      Row{"at the timeout", nothing, kTimeout, 4, false},
      Row{"entry disturbed meanwhile", disturbed("entry", 1s), 2s, 4, false},
      Row{"entry disturbed before", disturbed("entry", -3999ms), 1s, 4, false},
      Row{"entry recovered", disturbed("entry", -4s), 1s, 4, true},
      Row{"store disturbed before", disturbed("", -1s), 1s, 4, false},
      Row{"other entry disturbed", disturbed("other", 1s), 2s, 4, true},
      Row{"endpoint breaks", broken("endpoint", 1s), 1s, 4, false},
      Row{"endpoint broke before", broken("endpoint", -1s), 1s, 4, true},
      Row{"other endpoint breaks", broken("other", 1s), 1s, 4, true});
  INFO(row.name_);
  ResponseCheck check;
  CHECK(Find(row, check, true) == row.found_);
  CHECK(check.cut() == static_cast<std::size_t>(row.count_));
  CHECK(check.unanswered() == 0);
}

TEST_CASE("requests that an entry does not answer are found", "[soak]") {
  const auto nothing = [](ResponseCheck&) {};
  const auto row =
      GENERATE_COPY(Row{"crossing a close", nothing, 200ms, 4, false},
                    Row{"read before the close", nothing, 201ms, 4, true});
  INFO(row.name_);
  ResponseCheck check;
  CHECK(Find(row, check, false) == row.found_);
}

}  // namespace
}  // namespace chalkwell::soak
