// Control traffic of the system: datagrams and bytes sent, by kind and by
// whether they leave the failure domain.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "chalkwell/core/fwd.hpp"
#include "daemon/event_log.hpp"
#include "daemon/metrics.hpp"

namespace chalkwell::daemon::direct {

/// @brief Purpose of a datagram.
enum class TrafficKind : std::uint8_t {
  kReport,
  kSubscription,
  kGossip,
  kReply,
  /// Announcement of the known versions of rules and weights.
  kVersions,
  kList,
  kDeparted,
  kHeldChunks,
  kCrashes,
  kRateLimits,
};

[[nodiscard]] std::string_view ToString(TrafficKind kind);

/// @brief Counts the datagrams of one process, for the metrics and for a
/// periodic log line.
class TrafficCounter {
 public:
  TrafficCounter(EventLog& log, Metrics& metrics);

  /// @param remote whether the receiver is in another failure domain.
  void OnSent(TrafficKind kind, bool remote, std::size_t bytes);
  void OnReceived(std::size_t bytes) noexcept {
    received_bytes_ += bytes + kHeaderBytes;
  }
  /// @brief Updates the metrics, and writes the log line when it is due.
  void Report(core::TimePoint now);

 private:
  struct Sum {
    std::uint64_t datagrams_ = 0;
    std::uint64_t bytes_ = 0;
  };
  static constexpr std::size_t kKinds = 10;
  /// IP and UDP headers. Load reports are hardly larger than these, so leaving
  /// them out would understate the traffic.
  static constexpr std::size_t kHeaderBytes = 28;
  /// Sent within the local failure domain and to remote ones, by kind.
  struct Sums {
    std::array<Sum, kKinds> local_{};
    std::array<Sum, kKinds> remote_{};
  };

  void AddToMetrics(const std::array<Sum, kKinds>& sums, const char* to);
  void WriteLogLine();

  EventLog& log_;
  Metrics& metrics_;
  /// Sent since the metrics were last updated.
  Sums unreported_;
  /// Bytes since the last log line, by kind.
  std::array<std::uint64_t, kKinds> sent_bytes_{};
  std::uint64_t remote_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
  core::TimePoint logged_at_;
};

}  // namespace chalkwell::daemon::direct
