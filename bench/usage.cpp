// Parses the text format of the metrics and computes the linear regression.
#include "usage.hpp"

#include <ctime>
#include <iostream>
#include <numeric>
#include <sstream>
#include <thread>

namespace chalkwell::bench {
namespace {

/// Sum of a metric over all its labels.
double SumMetric(const std::string& metrics_text, const std::string& name) {
  std::istringstream lines(metrics_text);
  double sum = 0;
  for (std::string line; std::getline(lines, line);) {
    const bool matches =
        line.starts_with(name + " ") || line.starts_with(name + "{");
    if (matches) {
      sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

}  // namespace

ProcessUsage ReadProcessUsage(const fleet::Node& node) {
  const auto metrics_text = fleet::Get(node.admin_address_, "/metrics").body_;
  return {
      .cpu_seconds_ = SumMetric(metrics_text, "chalkwell_cpu_seconds"),
      .resident_bytes_ = SumMetric(metrics_text, "chalkwell_resident_bytes"),
      .peer_bytes_ = SumMetric(metrics_text, "chalkwell_peer_transport_bytes")};
}

MeanUsage MeasureMeanUsage(const std::vector<fleet::Node*>& nodes,
                           std::chrono::milliseconds window) {
  using Clock = std::chrono::steady_clock;
  std::vector<ProcessUsage> before;
  std::vector<Clock::time_point> start_times;
  for (const auto* node : nodes) {
    before.push_back(ReadProcessUsage(*node));
    start_times.push_back(Clock::now());
  }
  std::this_thread::sleep_for(window);
  MeanUsage mean;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const auto after = ReadProcessUsage(*nodes[i]);
    const std::chrono::duration<double> elapsed = Clock::now() - start_times[i];
    mean.cpu_share_ +=
        (after.cpu_seconds_ - before[i].cpu_seconds_) / elapsed.count();
    mean.resident_bytes_ += after.resident_bytes_;
    mean.peer_bytes_per_second_ +=
        (after.peer_bytes_ - before[i].peer_bytes_) / elapsed.count();
  }
  const auto count = static_cast<double>(nodes.size());
  mean.cpu_share_ /= count;
  mean.resident_bytes_ /= count;
  mean.peer_bytes_per_second_ /= count;
  return mean;
}

LinearFit FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  const auto count = static_cast<double>(x.size());
  const double mean_x = std::accumulate(x.begin(), x.end(), 0.0) / count;
  const double mean_y = std::accumulate(y.begin(), y.end(), 0.0) / count;
  double covariance_sum = 0;
  double variance_sum = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    covariance_sum += (x[i] - mean_x) * (y[i] - mean_y);
    variance_sum += (x[i] - mean_x) * (x[i] - mean_x);
  }
  const double slope = variance_sum == 0 ? 0 : covariance_sum / variance_sum;
  return {.intercept_ = mean_y - slope * mean_x, .slope_ = slope};
}

double ParseLogTime(const std::string& line) {
  std::tm time{};
  const auto* end = strptime(line.c_str(), "%Y-%m-%d %H:%M:%S", &time);
  if (end == nullptr) {
    return 0;
  }
  time.tm_isdst = -1;
  return static_cast<double>(std::mktime(&time)) +
         std::stod("0." + std::string(end + 1, 3));
}

void PrintFigure(const std::string& name, double value) {
  std::cout << "figure " << name << " " << value << std::endl;
}

}  // namespace chalkwell::bench
