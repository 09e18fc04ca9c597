// What the system's own control costs: bytes and datagrams by kind, and by
// whether they leave the failure domain.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "chalkwell/core/fwd.hpp"
#include "daemon/event_log.hpp"
#include "daemon/metrics.hpp"

namespace chalkwell::daemon::direct {

/// @brief What a datagram is for.
enum class TrafficKind : std::uint8_t {
  kReport,
  kSubscription,
  kGossip,
  kReply,
  kNotification,
  kList,
  kDeparted,
  kHeldChunks,
  kCrashes,
};

[[nodiscard]] std::string_view ToString(TrafficKind kind);

/// @brief Counts one process's datagrams, for metrics and for a line of the log
/// now and then.
class TrafficCounter {
 public:
  TrafficCounter(EventLog& log, Metrics& metrics);

  /// @param far whether it goes to another failure domain.
  void OnSent(TrafficKind kind, bool far, std::size_t bytes);
  void OnReceived(std::size_t bytes) noexcept {
    received_bytes_ += bytes + kHeaderBytes;
  }
  /// @brief Brings the metrics up to date, and writes the line when it is due.
  void Tell(core::TimePoint now);

 private:
  struct Sum {
    std::uint64_t datagrams_ = 0;
    std::uint64_t bytes_ = 0;
  };
  static constexpr std::size_t kKinds = 9;
  /// Of IP and UDP: reports are hardly larger than they.
  static constexpr std::size_t kHeaderBytes = 28;
  /// Sent to the own failure domain, and to others; by kind.
  struct Sums {
    std::array<Sum, kKinds> near_{};
    std::array<Sum, kKinds> far_{};
  };

  void Flush(const std::array<Sum, kKinds>& sums, const char* to);
  void WriteLine();

  EventLog& log_;
  Metrics& metrics_;
  /// Not in the metrics yet.
  Sums fresh_;
  /// Bytes since the last line, by kind.
  std::array<std::uint64_t, kKinds> sent_bytes_{};
  std::uint64_t far_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
  core::TimePoint told_at_;
};

}  // namespace chalkwell::daemon::direct
