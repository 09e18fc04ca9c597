// Callers keep sending after the last fault until its effects have ended.
#include "soak/soak.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <thread>

#include "soak/callers.hpp"

namespace chalkwell::soak {
namespace {

constexpr auto kSettle = std::chrono::seconds(2);
constexpr std::size_t kMaxPrintedPerKind = 20;
/// The system aims at no more crashes by one request.
constexpr std::size_t kMaxExpectedCrashes = 4;

/// Reads one field of all lines in the logs of a folder.
DurationSample ReadLogField(const std::filesystem::path& folder,
                            const std::string& name) {
  const auto mark = "\"" + name + "\":\"";
  DurationSample durations;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    std::ifstream lines(file.path());
    for (std::string line; std::getline(lines, line);) {
      const auto at = line.find(mark);
      if (at != std::string::npos) {
        durations.Add(milliseconds(std::stol(line.substr(at + mark.size()))));
      }
    }
  }
  return durations;
}

void PrintDurations(const std::string& what, const DurationSample& durations,
                    std::ostream& out) {
  out << what << ": " << durations.count()
      << ", ms at percentiles 50, 99, 99.9, 100: "
      << durations.Quantile(0.5).count() << " "
      << durations.Quantile(0.99).count() << " "
      << durations.Quantile(0.999).count() << " "
      << durations.Quantile(1).count() << "\n";
}

/// Whether a request crashed more endpoints than expected, whatever the cause:
/// the logs are kept then.
bool HasUnexpectedCrashes(const RunResult& result) {
  return std::ranges::any_of(result.crashes_, [](const auto& request) {
    return request.second.size() > kMaxExpectedCrashes;
  });
}

/// Prints, for each crash after the request should have been quarantined,
/// whether its entry was disturbed.
void PrintLaterCrashes(const std::string& name,
                       const std::vector<CrashRecord>& crashes,
                       std::ostream& out) {
  const std::size_t known = Bounds{}.quarantine_crashes_;
  for (auto i = known; i < crashes.size(); ++i) {
    const auto& crash = crashes[i];
    const auto third = crashes[known - 1].at_;
    const auto ms = [&](TimePoint at) {
      return std::chrono::duration_cast<milliseconds>(at - third).count();
    };
    out << "  " << name << " crash " << i + 1 << ": " << ms(crash.at_)
        << " ms after the third, arrived " << ms(crash.arrived_at_)
        << " ms after it, entry " << crash.entry_ << " "
        << (crash.undisturbed_ ? "undisturbed" : "disturbed") << "\n";
  }
}

void PrintIncomplete(const RunResult& result, std::ostream& out) {
  const auto& check = result.incomplete_;
  out << "silent attempts " << result.silent_attempts_
      << ", responses cut off by entries " << result.cut_by_entries_
      << "; responses cut off " << check.cut()
      << ", requests without a response " << check.unanswered()
      << "; of both, those that entries caused";
  for (const auto& [entry, count] : check.counted()) {
    out << " " << entry << ":" << count;
  }
  out << "; versions of rules " << result.rules_versions_ << ", probes of them "
      << result.rules_probes_ << "; retries " << result.retries_
      << ", in the worst window " << result.worst_retries_
      << " of the allowed\n";
}

}  // namespace

RunResult Run(const RunSettings& settings) {
  std::filesystem::remove_all(settings.deployment_.folder_);
  RunResult result;
  Checker checker(settings.deployment_.bounds_);
  {
    Deployment deployment(settings.deployment_, checker);
    result.started_ = deployment.Start();
    if (!result.started_) {
      return result;
    }
    std::vector<Target> targets;
    for (const auto& entry : deployment.entries()) {
      targets.push_back({entry.name_, deployment.CallerAddress(entry)});
    }
    Callers callers(std::move(targets), settings.rate_, settings.faults_.seed_,
                    checker);
    FaultInjector fault_injector(settings.faults_, deployment, callers,
                                 checker);
    fault_injector.Run();
    std::this_thread::sleep_for(kSettle);
    result.injected_ = fault_injector.injected();
    for (const auto& entry : deployment.entries()) {
      deployment.CollectMetrics(entry);
    }
    result.silent_attempts_ =
        deployment.totals()["chalkwell_silent_attempts_total"];
    result.cut_by_entries_ =
        deployment.totals()["chalkwell_responses_cut_total"];
    result.rules_versions_ = deployment.rules_version();
  }
  result.findings_ = checker.findings();
  result.responses_ = checker.responses();
  result.arrivals_ = checker.arrivals();
  result.unframed_streams_ = checker.unframed_streams();
  result.arrivals_after_departure_ = checker.arrivals_after_departure();
  result.crashes_ = checker.crashes();
  result.refused_as_suspected_ = checker.refused_as_suspected();
  result.rate_limited_arrivals_ = checker.rate_limited_arrivals();
  result.forwarded_departures_ = checker.forwarded_departures();
  result.refusals_ = checker.refusals();
  result.rules_probes_ = checker.rules_probes();
  result.retries_ = checker.retries().retries();
  result.worst_retries_ = checker.retries().worst();
  result.incomplete_ = checker.incomplete();
  result.list_ages_ = ReadLogField(settings.deployment_.folder_, "list_age_ms");
  if (result.findings_.empty() && !HasUnexpectedCrashes(result)) {
    std::filesystem::remove_all(settings.deployment_.folder_);
  }
  return result;
}

void Print(const RunResult& result, std::ostream& out) {
  out << "arrivals " << result.arrivals_ << "; responses";
  for (const auto& [status, count] : result.responses_) {
    out << " " << status << ":" << count;
  }
  out << "; streams that ended with their connection "
      << result.unframed_streams_
      << "; arrivals while a stated rate limit applied "
      << result.rate_limited_arrivals_
      << "; forwarded statements that an endpoint leaves "
      << result.forwarded_departures_ << "; refusals with a Retry-After "
      << result.refusals_ << "\ninjected faults";
  for (const auto& [kind, count] : result.injected_) {
    out << " " << kind << ":" << count;
  }
  out << "\n";
  PrintIncomplete(result, out);
  PrintDurations(
      "arrivals from undisturbed entries after an acknowledged departure",
      result.arrivals_after_departure_, out);
  out << "endpoints crashed by each request";
  for (const auto& [name, crashes] : result.crashes_) {
    out << " " << name << ":" << crashes.size();
  }
  out << "; other requests refused during a trial: "
      << result.refused_as_suspected_ << "\n";
  for (const auto& [name, crashes] : result.crashes_) {
    PrintLaterCrashes(name, crashes, out);
  }
  PrintDurations("snapshot age of the endpoint list when routing",
                 result.list_ages_, out);
  std::map<std::string, std::size_t> kinds;
  for (const auto& finding : result.findings_) {
    if (++kinds[finding.kind_] <= kMaxPrintedPerKind) {
      out << "  " << finding.kind_ << ": " << finding.endpoint_ << " "
          << finding.request_ << " after " << finding.delay_.count() << " ms\n";
    }
  }
  for (const auto& [what, count] : kinds) {
    out << what << ": " << count << "\n";
  }
}

}  // namespace chalkwell::soak
