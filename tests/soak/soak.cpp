// Callers go on until the troubles are over and what they left has settled.
#include "soak/soak.hpp"

#include <iostream>
#include <thread>

#include "soak/callers.hpp"

namespace chalkwell::soak {
namespace {

constexpr auto kSettle = std::chrono::seconds(2);
constexpr std::size_t kMostPrinted = 20;

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
    const Callers callers(std::move(targets), settings.rate_,
                          settings.troubles_.seed_, judge);
    Troubles troubles(settings.troubles_, world, judge);
    troubles.Play();
    std::this_thread::sleep_for(kSettle);
    result.played_ = troubles.played();
  }
  result.findings_ = judge.findings();
  result.answers_ = judge.answers();
  result.arrivals_ = judge.arrivals();
  result.late_sends_ = judge.late_sends();
  if (result.findings_.empty()) {
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
  const auto& late = result.late_sends_;
  out << "\nsent after a leaving was acknowledged: " << late.count()
      << ", ms after it at 50, 99, 99.9, 100 of 100: "
      << late.Quantile(0.5).count() << " " << late.Quantile(0.99).count() << " "
      << late.Quantile(0.999).count() << " " << late.Quantile(1).count()
      << "\n";
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
