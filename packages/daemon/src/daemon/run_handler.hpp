// The agent's side of attempts: validates them, forwards them to the backend
// and streams the responses back. All requests reach the backend through this
// class.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "chalkwell/routing/execution_guard.hpp"
#include "chalkwell/routing/slot_queue.hpp"
#include "daemon/engine_client.hpp"
#include "daemon/process.hpp"

namespace chalkwell::daemon {

/// @brief Current state of the endpoint.
struct EndpointState {
  /// Whether requests may be forwarded to the backend.
  bool accepting_ = false;
  /// Digest of the weights that the engine reported, in hexadecimal; empty for
  /// services without weights.
  std::string manifest_;
};

/// @brief Runs attempts at one backend, as many at once as it has slots; a
/// bounded number of others waits.
class RunHandler {
 public:
  /// @param incarnation incarnation of the agent process; tickets issued for
  /// other incarnations are not accepted.
  /// @param capacity attempts that run at once, and attempts that may wait.
  /// @param state returns the current state; called for each attempt.
  /// @param on_response_bytes called with the size in bytes of each received
  /// part of a response.
  /// @param on_idle called when no attempt is left at the backend.
  RunHandler(Process& process, Address backend, std::uint64_t incarnation,
             std::uint64_t capacity, std::function<EndpointState()> state,
             std::function<void(std::size_t)> on_response_bytes,
             std::function<void()> on_idle);

  /// @brief Attempts at the backend.
  [[nodiscard]] std::size_t in_flight() const noexcept {
    return slots_.in_use();
  }
  [[nodiscard]] std::uint64_t incarnation() const noexcept {
    return guard_.incarnation();
  }

  /// @brief Assigns an issuer number to an entry, under which it issues
  /// tickets.
  [[nodiscard]] std::uint64_t RegisterIssuer() {
    return guard_.RegisterIssuer();
  }
  /// @brief Number of entries that recently sent attempts; at least 1.
  [[nodiscard]] std::size_t active_entries() const;
  /// @brief Handles a call of /v1/run.
  /// @throws core::Error if the request is malformed.
  void Handle(const PeerCallPtr& call);
  /// @brief Refuses the attempts that wait for a slot; to be called when the
  /// endpoint accepts no work.
  void RefuseAllQueued();

 private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;

  /// @return true if the ticket permits the attempt to run; otherwise the call
  /// has been responded to.
  [[nodiscard]] bool CheckTicket(const PeerCallPtr& call,
                                 const RunMessage& message);
  /// @return empty if the attempt may run.
  [[nodiscard]] std::string RefusalReason(const RunMessage& message) const;
  void Refuse(const PeerCallPtr& call, std::string reason) const;
  void Enqueue(std::uint64_t number, const AttemptPtr& attempt);
  void RefuseQueued(std::uint64_t number, const std::string& reason);
  void StartQueued();
  void ForwardToBackend(const AttemptPtr& attempt);
  void OnResponseHead(const AttemptPtr& attempt, int status,
                      const HttpHeaders& headers);
  void OnResponseData(const AttemptPtr& attempt, std::string_view bytes);
  void OnResponseEnd(const AttemptPtr& attempt, HttpEnd end);
  void CloseAttempt(const AttemptPtr& attempt, RunFrame frame);
  /// @brief Whether the response received from the backend is complete.
  [[nodiscard]] static bool IsComplete(const Attempt& attempt);

  Process& process_;
  Address backend_;
  std::function<EndpointState()> state_;
  std::function<void(std::size_t)> on_response_bytes_;
  std::function<void()> on_idle_;
  routing::ExecutionGuard guard_;
  routing::SlotQueue slots_;
  std::uint64_t last_number_ = 0;
  /// Attempts that wait for a slot, by their number in `slots_`.
  std::map<std::uint64_t, AttemptPtr> queued_;
};

}  // namespace chalkwell::daemon
