// Callers go on until the troubles are over and what they left has settled.
#include "soak/soak.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <thread>

#include "soak/callers.hpp"

namespace chalkwell::soak {
namespace {

constexpr auto kSettle = std::chrono::seconds(2);
constexpr std::size_t kMostPrinted = 20;
/// Endpoints that one request is aimed to crash at most.
constexpr std::size_t kAimedCrashes = 4;

/// Collects one field of all lines in the logs of a folder.
Times FieldOfLogs(const std::filesystem::path& folder,
                  const std::string& name) {
  const auto mark = "\"" + name + "\":\"";
  Times times;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    std::ifstream lines(file.path());
    for (std::string line; std::getline(lines, line);) {
      const auto at = line.find(mark);
      if (at != std::string::npos) {
        times.Add(milliseconds(std::stol(line.substr(at + mark.size()))));
      }
    }
  }
  return times;
}

void PrintTimes(const std::string& what, const Times& times,
                std::ostream& out) {
  out << what << ": " << times.count()
      << ", ms at 50, 99, 99.9, 100 of 100: " << times.Quantile(0.5).count()
      << " " << times.Quantile(0.99).count() << " "
      << times.Quantile(0.999).count() << " " << times.Quantile(1).count()
      << "\n";
}

/// Whether a request crashed more endpoints than the aim allows, by the fault
/// of whomever: the logs are worth keeping.
bool CrashesOfInterest(const RunResult& result) {
  return std::ranges::any_of(result.crashes_, [](const auto& request) {
    return request.second.size() > kAimedCrashes;
  });
}

/// Prints for each crash past the third whether its entry could have known.
void PrintLaterCrashes(const std::string& name,
                       const std::vector<CrashSeen>& crashes,
                       std::ostream& out) {
  const std::size_t known = Bounds{}.crashes_;
  for (auto i = known; i < crashes.size(); ++i) {
    const auto& crash = crashes[i];
    const auto third = crashes[known - 1].at_;
    const auto ms = [&](TimePoint at) {
      return std::chrono::duration_cast<milliseconds>(at - third).count();
    };
    out << "  " << name << " crash " << i + 1 << ": " << ms(crash.at_)
        << " ms after the third, arrived " << ms(crash.arrived_at_)
        << " ms after it, entry " << crash.entry_ << " "
        << (crash.in_touch_ ? "in touch" : "disturbed") << "\n";
  }
}

}  // namespace

RunResult Run(const RunSettings& settings) {
  std::filesystem::remove_all(settings.world_.folder_);
  RunResult result;
  Judge judge(settings.world_.bounds_);
  {
    World world(settings.world_, judge);
    result.started_ = world.Start();
    if (!result.started_) {
      return result;
    }
    std::vector<Target> targets;
    for (const auto& entry : world.entries()) {
      targets.push_back({entry.name_, world.CallerAddress(entry)});
    }
    Callers callers(std::move(targets), settings.rate_,
                    settings.troubles_.seed_, judge);
    Troubles troubles(settings.troubles_, world, callers, judge);
    troubles.Play();
    std::this_thread::sleep_for(kSettle);
    result.played_ = troubles.played();
  }
  result.findings_ = judge.findings();
  result.answers_ = judge.answers();
  result.arrivals_ = judge.arrivals();
  result.late_sends_ = judge.late_sends();
  result.crashes_ = judge.crashes();
  result.suspected_ = judge.suspected();
  result.list_ages_ = FieldOfLogs(settings.world_.folder_, "list_age_ms");
  if (result.findings_.empty() && !CrashesOfInterest(result)) {
    std::filesystem::remove_all(settings.world_.folder_);
  }
  return result;
}

void Print(const RunResult& result, std::ostream& out) {
  out << "arrivals " << result.arrivals_ << "; answers";
  for (const auto& [status, count] : result.answers_) {
    out << " " << status << ":" << count;
  }
  out << "\nplayed";
  for (const auto& [kind, count] : result.played_) {
    out << " " << kind << ":" << count;
  }
  out << "\n";
  PrintTimes("sent by entries in touch after a leaving was acknowledged",
             result.late_sends_, out);
  out << "endpoints crashed by each request";
  for (const auto& [name, crashes] : result.crashes_) {
    out << " " << name << ":" << crashes.size();
  }
  out << "; innocent requests refused while one like them was tried: "
      << result.suspected_ << "\n";
  for (const auto& [name, crashes] : result.crashes_) {
    PrintLaterCrashes(name, crashes, out);
  }
  PrintTimes("age of the list at choices", result.list_ages_, out);
  std::map<std::string, std::size_t> kinds;
  for (const auto& finding : result.findings_) {
    if (++kinds[finding.what_] <= kMostPrinted) {
      out << "  " << finding.what_ << ": " << finding.endpoint_ << " "
          << finding.request_ << " after " << finding.after_.count() << " ms\n";
    }
  }
  for (const auto& [what, count] : kinds) {
    out << what << ": " << count << "\n";
  }
}

}  // namespace chalkwell::soak
