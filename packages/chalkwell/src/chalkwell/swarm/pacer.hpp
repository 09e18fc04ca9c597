// Pace of one machine's link: live bytes pass at once, weights take the rest.
#pragma once

#include <cstdint>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/swarm/fwd.hpp"

namespace chalkwell::swarm {

/// @brief Token bucket shared by live bytes and weights.
class Pacer {
 public:
  /// @param bytes_per_second rate of the link; 0 means no limit.
  /// @param burst how far ahead of the rate a sender may be.
  Pacer(std::uint64_t bytes_per_second, core::Duration burst);

  /// @brief Live bytes were sent; they never wait, weights wait for them.
  void OnRequestBytes(std::uint64_t bytes, core::TimePoint now);
  /// @brief Reserves room for weights.
  /// @return how long to wait before sending them.
  [[nodiscard]] core::Duration Reserve(std::uint64_t bytes,
                                       core::TimePoint now);
  /// @brief How long a reservation made now would wait.
  [[nodiscard]] core::Duration BacklogDelay(core::TimePoint now) const;

 private:
  [[nodiscard]] core::Duration TimeFor(std::uint64_t bytes) const noexcept;

  std::uint64_t bytes_per_second_;
  core::Duration burst_;
  /// Time at which all that was reserved has passed the link.
  core::TimePoint free_at_{};
};

}  // namespace chalkwell::swarm
