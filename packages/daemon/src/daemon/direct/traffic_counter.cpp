// Counted in plain numbers: reports are too many to look up a metric for each.
#include "daemon/direct/traffic_counter.hpp"

#include <numeric>
#include <string>
#include <utility>

namespace chalkwell::daemon::direct {
namespace {

/// Between two lines of the log.
constexpr auto kTellInterval = std::chrono::seconds(10);

}  // namespace

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
    case TrafficKind::kNotification:
      return "news";
    case TrafficKind::kList:
      return "list";
    case TrafficKind::kDeparted:
      return "departed";
    case TrafficKind::kHeldChunks:
      return "held";
    case TrafficKind::kCrashes:
      return "crashes";
  }
  return "";
}

TrafficCounter::TrafficCounter(EventLog& log, Metrics& metrics)
    : log_(log), metrics_(metrics) {}

void TrafficCounter::OnSent(TrafficKind kind, bool far, std::size_t bytes) {
  const auto index = static_cast<std::size_t>(kind);
  auto& sum = (far ? fresh_.far_ : fresh_.near_).at(index);
  ++sum.datagrams_;
  sum.bytes_ += bytes + kHeaderBytes;
}

void TrafficCounter::Flush(const std::array<Sum, kKinds>& sums,
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

void TrafficCounter::Tell(core::TimePoint now) {
  for (const auto& sum : fresh_.far_) {
    far_bytes_ += sum.bytes_;
  }
  const auto fresh = std::exchange(fresh_, {});
  Flush(fresh.near_, "near");
  Flush(fresh.far_, "far");
  if (told_at_ == core::TimePoint{}) {
    told_at_ = now;
  }
  if (now - told_at_ >= kTellInterval) {
    told_at_ = now;
    WriteLine();
  }
}

void TrafficCounter::WriteLine() {
  const auto bytes = [this](TrafficKind kind) {
    return std::to_string(sent_bytes_.at(static_cast<std::size_t>(kind)));
  };
  const auto all =
      std::accumulate(sent_bytes_.begin(), sent_bytes_.end(), std::uint64_t{0});
  log_.Write(core::EventNumber::kControlTraffic,
             {{"sent_bytes", std::to_string(all)},
              {"far_bytes", std::to_string(far_bytes_)},
              {"received_bytes", std::to_string(received_bytes_)},
              {"report", bytes(TrafficKind::kReport)},
              {"subscription", bytes(TrafficKind::kSubscription)},
              {"gossip", bytes(TrafficKind::kGossip)},
              {"answer", bytes(TrafficKind::kReply)},
              {"news", bytes(TrafficKind::kNotification)},
              {"list", bytes(TrafficKind::kList)},
              {"departed", bytes(TrafficKind::kDeparted)},
              {"held", bytes(TrafficKind::kHeldChunks)}});
  sent_bytes_ = {};
  far_bytes_ = 0;
  received_bytes_ = 0;
}

}  // namespace chalkwell::daemon::direct
