// Datagrams are counted in plain integers and added to the metrics
// periodically: looking up a metric for every load report costs too much.
#include "daemon/direct/traffic_counter.hpp"

#include <numeric>
#include <string>
#include <utility>

namespace chalkwell::daemon::direct {
namespace {

/// Interval between two log lines.
constexpr auto kLogInterval = std::chrono::seconds(10);

}  // namespace

// Operators' tools read these texts as metric labels and log fields.
std::string_view ToString(TrafficKind kind) {
  switch (kind) {
    case TrafficKind::kReport:
      return "report";
    case TrafficKind::kSubscription:
      return "subscription";
    case TrafficKind::kGossip:
      return "gossip";
    case TrafficKind::kReply:
      return "answer";
    case TrafficKind::kVersions:
      return "news";
    case TrafficKind::kList:
      return "list";
    case TrafficKind::kDeparted:
      return "departed";
    case TrafficKind::kHeldChunks:
      return "held";
    case TrafficKind::kCrashes:
      return "crashes";
    case TrafficKind::kRateLimits:
      return "rate-limits";
  }
  return "";
}

TrafficCounter::TrafficCounter(EventLog& log, Metrics& metrics)
    : log_(log), metrics_(metrics) {}

void TrafficCounter::OnSent(TrafficKind kind, bool remote, std::size_t bytes) {
  const auto index = static_cast<std::size_t>(kind);
  auto& sum = (remote ? unreported_.remote_ : unreported_.local_).at(index);
  ++sum.datagrams_;
  sum.bytes_ += bytes + kHeaderBytes;
}

void TrafficCounter::AddToMetrics(const std::array<Sum, kKinds>& sums,
                                  const char* to) {
  for (std::size_t i = 0; i < kKinds; ++i) {
    const auto& sum = sums.at(i);
    if (sum.datagrams_ == 0) {
      continue;
    }
    const auto kind = static_cast<TrafficKind>(i);
    const Metrics::Labels labels{{"kind", std::string(ToString(kind))},
                                 {"to", to}};
    metrics_.Count("control_datagrams_sent_total", labels,
                   static_cast<double>(sum.datagrams_));
    metrics_.Count("control_bytes_sent_total", labels,
                   static_cast<double>(sum.bytes_));
    sent_bytes_.at(i) += sum.bytes_;
  }
}

void TrafficCounter::Report(core::TimePoint now) {
  for (const auto& sum : unreported_.remote_) {
    remote_bytes_ += sum.bytes_;
  }
  const auto unreported = std::exchange(unreported_, {});
  AddToMetrics(unreported.local_, "near");
  AddToMetrics(unreported.remote_, "far");
  if (logged_at_ == core::TimePoint{}) {
    logged_at_ = now;
  }
  if (now - logged_at_ >= kLogInterval) {
    logged_at_ = now;
    WriteLogLine();
  }
}

void TrafficCounter::WriteLogLine() {
  const auto bytes = [this](TrafficKind kind) {
    return std::to_string(sent_bytes_.at(static_cast<std::size_t>(kind)));
  };
  const auto all =
      std::accumulate(sent_bytes_.begin(), sent_bytes_.end(), std::uint64_t{0});
  log_.Write(core::EventNumber::kControlTraffic,
             {{"sent_bytes", std::to_string(all)},
              {"far_bytes", std::to_string(remote_bytes_)},
              {"received_bytes", std::to_string(received_bytes_)},
              {"report", bytes(TrafficKind::kReport)},
              {"subscription", bytes(TrafficKind::kSubscription)},
              {"gossip", bytes(TrafficKind::kGossip)},
              {"answer", bytes(TrafficKind::kReply)},
              {"news", bytes(TrafficKind::kVersions)},
              {"list", bytes(TrafficKind::kList)},
              {"departed", bytes(TrafficKind::kDeparted)},
              {"held", bytes(TrafficKind::kHeldChunks)}});
  sent_bytes_ = {};
  remote_bytes_ = 0;
  received_bytes_ = 0;
}

}  // namespace chalkwell::daemon::direct
