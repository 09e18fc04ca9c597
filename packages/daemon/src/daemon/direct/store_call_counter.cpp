// Counts calls to the configuration store by section and by cause.
#include "daemon/direct/store_call_counter.hpp"

#include <numeric>
#include <string>

namespace chalkwell::daemon::direct {

std::string_view ToString(Section section) {
  switch (section) {
    case Section::kRules:
      return "rules";
    case Section::kWeights:
      return "weights";
    case Section::kEndpoints:
      return "endpoints";
    case Section::kOperations:
      return "operations";
  }
  return "";
}

std::string_view ToString(StoreCallCause cause) {
  switch (cause) {
    case StoreCallCause::kRead:
      return "read";
    case StoreCallCause::kWatch:
      return "watch";
    case StoreCallCause::kPoll:
      return "poll";
    case StoreCallCause::kProbe:
      return "probe";
    case StoreCallCause::kSingleRead:
      return "once";
    case StoreCallCause::kConfirm:
      return "confirm";
  }
  return "";
}

StoreCallCounter::StoreCallCounter(EventLog& log, Metrics& metrics)
    : log_(log), metrics_(metrics) {}

void StoreCallCounter::OnCall(Section section, StoreCallCause cause) {
  metrics_.Count("store_calls_total",
                 {{"section", std::string(ToString(section))},
                  {"cause", std::string(ToString(cause))}});
  ++by_section_.at(static_cast<std::size_t>(section));
  ++by_cause_.at(static_cast<std::size_t>(cause));
}

void StoreCallCounter::LogSummary() {
  const auto count = [](std::uint64_t calls) { return std::to_string(calls); };
  const auto in_section = [&](Section section) {
    return count(by_section_.at(static_cast<std::size_t>(section)));
  };
  const auto by_cause = [&](StoreCallCause cause) {
    return count(by_cause_.at(static_cast<std::size_t>(cause)));
  };
  const auto all =
      std::accumulate(by_cause_.begin(), by_cause_.end(), std::uint64_t{0});
  if (all == 0) {
    return;
  }
  log_.Write(core::EventNumber::kStoreCalls,
             {{"calls", count(all)},
              {"operations", in_section(Section::kOperations)},
              {"rules", in_section(Section::kRules)},
              {"weights", in_section(Section::kWeights)},
              {"endpoints", in_section(Section::kEndpoints)},
              {"read", by_cause(StoreCallCause::kRead)},
              {"watch", by_cause(StoreCallCause::kWatch)},
              {"poll", by_cause(StoreCallCause::kPoll)},
              {"probe", by_cause(StoreCallCause::kProbe)},
              {"once", by_cause(StoreCallCause::kSingleRead)},
              {"confirm", by_cause(StoreCallCause::kConfirm)}});
  by_section_ = {};
  by_cause_ = {};
}

}  // namespace chalkwell::daemon::direct
