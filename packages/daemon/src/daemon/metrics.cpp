// Metric families are registered on first use; docs/OPERATING.md lists them.
#include "daemon/metrics.hpp"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace chalkwell::daemon {
namespace {

const prometheus::Histogram::BucketBoundaries kDurationBucketsSeconds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
    1,     1.5,    2,     2.5,  3,     4,    5,   10,   30};

}  // namespace

Metrics::Metrics() = default;

std::string Metrics::Render() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, registry_.Collect());
  return out.str();
}

double Metrics::CounterValue(const std::string& name, const Labels& labels) {
  const auto family = counters_.find(name);
  return family == counters_.end() ? 0 : family->second->Add(labels).Value();
}

void Metrics::Count(const std::string& name, const Labels& labels,
                    double increment) {
  auto& family = counters_[name];
  if (family == nullptr) {
    family = &prometheus::BuildCounter()
                  .Name("chalkwell_" + name)
                  .Register(registry_);
  }
  family->Add(labels).Increment(increment);
}

void Metrics::Set(const std::string& name, const Labels& labels, double value) {
  auto& family = gauges_[name];
  if (family == nullptr) {
    family =
        &prometheus::BuildGauge().Name("chalkwell_" + name).Register(registry_);
  }
  family->Add(labels).Set(value);
}

void Metrics::Observe(const std::string& name, const Labels& labels,
                      core::Duration duration) {
  auto& family = histograms_[name];
  if (family == nullptr) {
    family = &prometheus::BuildHistogram()
                  .Name("chalkwell_" + name)
                  .Register(registry_);
  }
  const auto seconds = std::chrono::duration<double>(duration).count();
  family->Add(labels, kDurationBucketsSeconds).Observe(seconds);
}

void Metrics::CountEvent(core::EventNumber number) {
  Count("events_total", {{"name", std::string(core::Describe(number).name_)}});
}

}  // namespace chalkwell::daemon
