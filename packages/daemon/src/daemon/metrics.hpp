// Prometheus metrics, served as text on the admin listener.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

#include "chalkwell/core/event.hpp"
#include "chalkwell/core/fwd.hpp"
#include "daemon/fwd.hpp"

namespace chalkwell::daemon {

/// @brief Metrics of one process. A metric is registered when it is first used;
/// its exported name is "chalkwell_" followed by `name`.
class Metrics {
 public:
  using Labels = std::map<std::string, std::string>;

  Metrics();

  /// @return all metrics in the Prometheus text format.
  [[nodiscard]] std::string Render() const;
  /// @brief Value of a counter, for status pages and tests.
  /// @return 0 for a counter that was never incremented.
  [[nodiscard]] double CounterValue(const std::string& name,
                                    const Labels& labels);

  /// @brief Increments a counter.
  void Count(const std::string& name, const Labels& labels,
             double increment = 1);
  /// @brief Sets a gauge.
  void Set(const std::string& name, const Labels& labels, double value);
  /// @brief Adds a duration to a histogram in seconds.
  void Observe(const std::string& name, const Labels& labels,
               core::Duration duration);
  /// @brief Increments `events_total` with the name of the event as a label.
  void CountEvent(core::EventNumber number);

 private:
  prometheus::Registry registry_;
  std::map<std::string, prometheus::Family<prometheus::Counter>*> counters_;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges_;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms_;
};

}  // namespace chalkwell::daemon
