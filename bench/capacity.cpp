// Prints docs/CAPACITY.md from the output of bench_control, so that the page
// always agrees with the measured figures.
// Usage: capacity FIGURES_FILE.
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>
#include <string>

namespace {

// Deployment size that the page is computed for.
constexpr double kEntries = 340;
constexpr double kAgents = 3100;
constexpr double kDomains = 9;
constexpr double kTokensPerSecond = 610'000;
constexpr double kRequestsPerSecond = 1'600;
constexpr double kChangesPerDay = 9'000;
constexpr double kSecondsPerDay = 86'400;
constexpr double kStoreCallsPerSecondLimit = 2'000;
// Limits of the control plane's cost on each node.
constexpr double kCpuLimitPercent = 1.2;
constexpr double kMemoryLimitMegabytes = 64;
constexpr double kPeerTrafficLimitKilobytesPerSecond = 8;
// Streams and watchers at that size, by the default settings.
constexpr double kStreamsPerEntry = 80;
constexpr double kWatchersPerDomain = 2;

constexpr double kPercent = 100;
constexpr double kMega = 1e6;
constexpr double kKilo = 1e3;

/// The figures of a run: lines of the form "figure NAME VALUE".
class Figures {
 public:
  explicit Figures(const std::string& path) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
      std::istringstream fields(line);
      std::string keyword;
      std::string name;
      double value = 0;
      if (fields >> keyword >> name >> value && keyword == "figure") {
        values_[name] = value;
      }
    }
  }

  /// @return NaN for a figure that was not measured.
  [[nodiscard]] double Get(const std::string& name) const {
    const auto found = values_.find(name);
    return found == values_.end() ? std::nan("") : found->second;
  }
  [[nodiscard]] bool Has(const std::string& name) const {
    return values_.contains(name);
  }

 private:
  std::map<std::string, double> values_;
};

/// Cost of one role in one measure: a base value, and the fitted slopes times
/// the target size.
struct CostBreakdown {
  double base_ = 0;
  double streams_ = 0;
  double rows_ = 0;
  double changes_ = 0;

  [[nodiscard]] double total() const {
    return base_ + streams_ + rows_ + changes_;
  }
};

CostBreakdown ComputeCost(const Figures& figures, const std::string& role,
                          const std::string& measure, double streams) {
  // An intercept or a slope below zero is measurement noise.
  const auto clamp_to_zero = [](double value) {
    return std::isnan(value) ? value : std::max(0.0, value);
  };
  const std::string stream_variable =
      role == "entry" ? "_by_endpoints_" : "_by_entries_";
  const auto read_figure = [&](const std::string& name) {
    return clamp_to_zero(figures.Get(role + name));
  };
  CostBreakdown cost;
  cost.base_ = read_figure(stream_variable + measure + "_at_zero");
  cost.streams_ = read_figure(stream_variable + measure + "_slope") * streams;
  cost.rows_ =
      read_figure("_by_rows_" + measure + "_slope") * (kEntries + kAgents);
  cost.changes_ = read_figure("_by_changes_" + measure + "_slope") *
                  kChangesPerDay / kSecondsPerDay;
  return cost;
}

std::string FormatNumber(double value) {
  if (std::isnan(value)) {
    return "not measured";
  }
  std::ostringstream text;
  text << std::setprecision(3) << value;
  return text.str();
}

void PrintRow(const std::string& role, const std::string& measure,
              const CostBreakdown& cost, double scale, double limit,
              const std::string& unit) {
  const auto total = cost.total() * scale;
  std::string verdict = "not measured";
  if (!std::isnan(total)) {
    verdict = total <= limit ? "fits" : "**over**";
  }
  std::cout << "| " << role << " | " << measure << " | "
            << FormatNumber(cost.base_ * scale) << " | "
            << FormatNumber(cost.streams_ * scale) << " | "
            << FormatNumber(cost.rows_ * scale) << " | "
            << FormatNumber(cost.changes_ * scale) << " | "
            << FormatNumber(total) << " " << unit << " | " << limit << " "
            << unit << " | " << verdict << " |\n";
}

void PrintControl(const Figures& figures) {
  const double streams_per_agent = kEntries * kStreamsPerEntry / kAgents;
  std::cout
      << "## Control, for each process\n\n"
         "Sum of a start value and of slopes times the target's size: an entry "
         "keeps "
      << kStreamsPerEntry
      << " streams (settings `routing.attach` and "
         "`attach_foreign`), an agent gets "
      << FormatNumber(streams_per_agent) << "; the published lists hold "
      << kEntries + kAgents << " rows; "
      << FormatNumber(kChangesPerDay / kSecondsPerDay)
      << " changes a second.\n\n"
         "| role | measure | at zero | streams | rows | changes | total | "
         "limit | |\n|---|---|---|---|---|---|---|---|---|\n";
  for (const std::string role : {"entry", "agent"}) {
    const auto streams = role == "entry" ? kStreamsPerEntry : streams_per_agent;
    PrintRow(role, "processor", ComputeCost(figures, role, "cpu", streams),
             kPercent, kCpuLimitPercent, "% of a core");
    PrintRow(role, "memory", ComputeCost(figures, role, "rss", streams),
             1 / kMega, kMemoryLimitMegabytes, "MB");
    PrintRow(role, "bytes to peers, in and out",
             ComputeCost(figures, role, "bytes", streams), 1 / kKilo,
             kPeerTrafficLimitKilobytesPerSecond, "KB/s");
  }
}

void PrintStoreCalls(const Figures& figures) {
  const double watch_calls = kDomains * kWatchersPerDomain;
  const double changes_per_second = kChangesPerDay / kSecondsPerDay;
  const double measured_entries = 30;
  const double peak_calls_per_second =
      figures.Get("config_peak_calls_per_second_at_start") / measured_entries *
      kEntries;
  std::cout
      << "\n## Duties\n\n"
         "| duty | who | calls a second | limit |\n|---|---|---|---|\n"
         "| watch of the configuration service | "
      << kWatchersPerDomain << " entries of each domain, by rank | "
      << FormatNumber(watch_calls + watch_calls * changes_per_second)
      << " (a waiting watch counts) | " << kStoreCallsPerSecondLimit / 4
      << " |\n"
      << "| first read when everything starts at once | every entry | "
      << FormatNumber(peak_calls_per_second) << " at the peak (measured "
      << FormatNumber(figures.Get("config_peak_calls_per_second_at_start"))
      << " for 30 entries) | " << kStoreCallsPerSecondLimit / 4 << " |\n\n"
      << "A change was in force in all of 30 entries and 198 agents after "
      << FormatNumber(figures.Get("config_in_force_seconds"))
      << " s at most (limit 5 s), and after "
      << FormatNumber(figures.Get("config_in_force_seconds_one_reader"))
      << " s when one process alone could reach the service. It spreads by "
         "pushes to 4 peers each, so 340 entries take one more step than 30.\n";
}

void PrintRequests(const Figures& figures) {
  constexpr double kMeasuredEntries = 3;
  constexpr double kMeasuredAgents = 6;
  const double entry_seconds_per_token =
      figures.Get("entry_by_tokens_cpu_slope") * kMeasuredEntries;
  const double agent_seconds_per_token =
      figures.Get("agent_by_tokens_cpu_slope") * kMeasuredAgents;
  std::cout << "\n## Requests\n\n"
               "Not part of control; given so that nodes can be sized. "
            << kRequestsPerSecond << " requests and " << kTokensPerSecond
            << " tokens a second:\n\n"
               "| role | processor time for a token | tokens a second each | "
               "share of a core |\n|---|---|---|---|\n"
            << "| entry | " << FormatNumber(entry_seconds_per_token * kMega)
            << " us | " << FormatNumber(kTokensPerSecond / kEntries) << " | "
            << FormatNumber(entry_seconds_per_token * kTokensPerSecond /
                            kEntries * kPercent)
            << " % |\n| agent | "
            << FormatNumber(agent_seconds_per_token * kMega) << " us | "
            << FormatNumber(kTokensPerSecond / kAgents) << " | "
            << FormatNumber(agent_seconds_per_token * kTokensPerSecond /
                            kAgents * kPercent)
            << " % |\n";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: capacity FIGURES_FILE\n";
    return 2;
  }
  const Figures figures(argv[1]);
  std::cout
      << "# Capacity\n\n"
         "What chalkwell costs at the size its users aim for in two years: "
         "340 nodes before 3,100 runners, 1,600 requests and 610,000 tokens a "
         "second, weights on 1,200 instances within minutes, 9,000 changes a "
         "day in force within 5 s, 9 failure domains in 3 regions; control of "
         "a node within 1.2% of a core, 64 MB and 8 KB/s.\n\n"
         "`make capacity` prints this page from "
         "`docs/measurements/control.txt`, "
         "the output of `make bench-control`; a test holds the two together. "
         "Each figure is a slope measured on one shared machine of 8 cores "
         "with "
         "real processes (at most 30 entries and 198 agents), times the "
         "target's size. Sizes beyond that are worked out, not run.\n\n";
  PrintControl(figures);
  PrintStoreCalls(figures);
  PrintRequests(figures);
  std::ifstream notes("docs/capacity-notes.md");
  std::cout << "\n" << notes.rdbuf();
  return 0;
}
