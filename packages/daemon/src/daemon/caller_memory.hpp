// Memory that callers' connections of one process hold. Decisions are made by
// routing::RequestMemory; here they reach the connections.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "chalkwell/routing/request_memory.hpp"
#include "daemon/loop.hpp"

namespace chalkwell::daemon {

/// @brief Account of the memory of callers' connections; shared by the servers
/// of a process.
class CallerMemory {
 public:
  CallerMemory(Loop& loop, routing::RequestMemorySettings settings);

  /// @brief Sets the size of the largest request that is allowed.
  void SetLargestRequest(std::size_t bytes) noexcept {
    memory_.SetLargestRequest(bytes);
  }
  /// @brief Time after which a rejected request may fit.
  [[nodiscard]] core::Duration RetryAfter() const {
    return memory_.RetryAfter(loop_.Now());
  }
  /// @brief Bytes held.
  [[nodiscard]] std::size_t held() const noexcept { return memory_.held(); }
  [[nodiscard]] std::size_t limit() const noexcept {
    return memory_.settings().total_bytes_;
  }

 private:
  friend class MemoryLease;

  /// @brief Returns memory to the system once much less is held than before.
  void OnShrunk();

  Loop& loop_;
  routing::RequestMemory memory_;
  /// Most bytes held since memory was returned to the system.
  std::size_t peak_ = 0;
  Timer return_timer_;
  /// Called when a holder is ended for another one.
  std::map<routing::RequestMemory::HolderId, std::function<void()>> on_ended_;
};

/// @brief What one connection or request holds; the destructor gives it back.
///
/// Less than a page is not counted, so that small requests cost nothing.
class MemoryLease {
 public:
  /// @param memory null to hold bytes that are not counted.
  /// @param on_ended called when the lease is ended for another one, within a
  /// call to Grow of that one; it must free the bytes.
  explicit MemoryLease(std::shared_ptr<CallerMemory> memory,
                       std::function<void()> on_ended = nullptr);
  ~MemoryLease();
  MemoryLease(const MemoryLease&) = delete;
  MemoryLease& operator=(const MemoryLease&) = delete;

  /// @brief The first byte of a request has arrived.
  void BeginReceiving();
  /// @brief The request is complete.
  void EndReceiving();
  /// @brief Asks for a larger size.
  /// @return false if the bytes must not be held.
  [[nodiscard]] bool Grow(std::size_t bytes);
  /// @brief Sets a size that cannot be rejected.
  void Set(std::size_t bytes);

 private:
  /// @brief Becomes a holder of the account, unless it is one.
  void Join();

  /// Null when bytes are not counted.
  std::shared_ptr<CallerMemory> memory_;
  std::function<void()> on_ended_;
  /// 0 until a page is held.
  routing::RequestMemory::HolderId holder_ = 0;
  /// Set while a request is received.
  std::optional<core::TimePoint> receiving_since_;
  /// Size counted last, in whole pages.
  std::size_t bytes_ = 0;
};

}  // namespace chalkwell::daemon
