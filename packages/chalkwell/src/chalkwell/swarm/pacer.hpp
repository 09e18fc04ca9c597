// Rate limiter of one machine's link: request traffic is sent at once, weight
// traffic uses the remaining capacity.
#pragma once

#include <cstdint>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/swarm/fwd.hpp"

namespace chalkwell::swarm {

/// @brief Token bucket shared by request traffic and weight traffic.
class Pacer {
 public:
  /// @param bytes_per_second rate of the link; 0 means no limit.
  /// @param burst how much may be sent at once after an idle period, as its
  /// transmission time.
  Pacer(std::uint64_t bytes_per_second, core::Duration burst);

  /// @brief Accounts for request traffic, which is never delayed; later weight
  /// traffic waits for it.
  void OnRequestBytes(std::uint64_t bytes, core::TimePoint now);
  /// @brief Reserves link time for weight traffic.
  /// @return how long to wait before sending it.
  [[nodiscard]] core::Duration Reserve(std::uint64_t bytes,
                                       core::TimePoint now);
  /// @brief How long a reservation made now would wait.
  [[nodiscard]] core::Duration BacklogDelay(core::TimePoint now) const;

 private:
  [[nodiscard]] core::Duration TimeFor(std::uint64_t bytes) const noexcept;

  std::uint64_t bytes_per_second_;
  core::Duration burst_;
  /// When the link has transmitted everything accounted for so far.
  core::TimePoint free_at_{};
};

}  // namespace chalkwell::swarm
