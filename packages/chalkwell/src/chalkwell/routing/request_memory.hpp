// Division of the memory for callers' requests and responses: which request may
// grow, which is rejected, and which is ended for another one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief Sizes and times of RequestMemory.
struct RequestMemorySettings {
  /// Bytes that all callers' connections may hold together.
  std::size_t total_bytes_ = std::size_t{64} << 20;
  /// Share of it that only small requests may use.
  double small_share_ = 0.25;
  /// Largest size of a small request.
  std::size_t small_bytes_ = std::size_t{64} << 10;
  /// A request that has been received for less than this is not ended for
  /// another one.
  core::Duration protected_time_ = std::chrono::seconds(1);
  /// Least value of RetryAfter().
  core::Duration min_retry_after_ = std::chrono::milliseconds(100);
};

/// @brief Account of what callers' connections hold, and its limit.
///
/// A holder is a connection or a request. Nothing waits for memory: bytes that
/// wait would be held by the system, and requests that wait for each other's
/// memory would never be complete.
class RequestMemory {
 public:
  /// Number of a holder; 0 is none.
  using HolderId = std::uint64_t;

  /// @brief Decision on a holder that needs more.
  struct Growth {
    bool granted_ = false;
    /// Holders to be ended for it. Their bytes are no longer counted.
    std::vector<HolderId> ended_;
  };

  explicit RequestMemory(RequestMemorySettings settings = {}) noexcept
      : settings_(settings) {}

  /// @brief Adds a holder without bytes.
  [[nodiscard]] HolderId Add();
  /// @brief Removes a holder and its bytes, if it is still counted.
  void Remove(HolderId holder);
  /// @brief The holder starts to receive a request, so that it may be ended for
  /// another one.
  /// @param since when the first byte arrived.
  void BeginReceiving(HolderId holder, core::TimePoint since);
  /// @brief The holder's request is complete: it may run.
  void EndReceiving(HolderId holder);
  /// @brief Asks for a larger size; without a grant the size stays.
  [[nodiscard]] Growth Grow(HolderId holder, std::size_t bytes,
                            core::TimePoint now);
  /// @brief Sets a size that cannot be rejected, such as that of a response.
  void Set(HolderId holder, std::size_t bytes);
  /// @brief Sets the size of the largest request that is allowed. One of it
  /// fits whatever the total, while no other large request is held.
  void SetLargestRequest(std::size_t bytes) noexcept { largest_ = bytes; }

  /// @brief Time after which a rejected request may fit.
  [[nodiscard]] core::Duration RetryAfter(core::TimePoint now) const;
  /// @brief Bytes held.
  [[nodiscard]] std::size_t held() const noexcept { return held_; }
  [[nodiscard]] const RequestMemorySettings& settings() const noexcept {
    return settings_;
  }

 private:
  struct Holder {
    std::size_t bytes_ = 0;
    /// Meaningful while receiving_.
    core::TimePoint since_;
    bool receiving_ = false;
  };
  /// Order in which holders are ended.
  using Age = std::pair<core::TimePoint, HolderId>;

  [[nodiscard]] bool IsLarge(std::size_t bytes) const noexcept {
    return bytes > settings_.small_bytes_;
  }
  [[nodiscard]] bool Fits(std::size_t bytes, std::size_t held,
                          std::size_t held_large) const noexcept;
  /// Holders, oldest first, without which the request fits; empty if none do.
  [[nodiscard]] std::vector<HolderId> SelectEnded(HolderId holder,
                                                  std::size_t bytes,
                                                  std::size_t held,
                                                  std::size_t held_large,
                                                  core::TimePoint now) const;
  void Resize(Holder& holder, std::size_t bytes) noexcept;

  RequestMemorySettings settings_;
  std::size_t largest_ = 0;
  HolderId last_id_ = 0;
  std::map<HolderId, Holder> holders_;
  /// The holders that receive a request.
  std::set<Age> receiving_;
  /// Sum of all sizes.
  std::size_t held_ = 0;
  /// Sum of the sizes of large requests.
  std::size_t held_large_ = 0;
};

}  // namespace chalkwell::routing
