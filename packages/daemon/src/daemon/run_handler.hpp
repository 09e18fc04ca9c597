// The agent's part of one attempt: check, hand to the back end, pass the answer
// on. The only way to the back end.
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

/// @brief What the handler must know of the endpoint at the moment.
struct EndpointState {
  /// Whether work may be handed to the back end.
  bool accepting_ = false;
  /// Weights the engine reported; empty for plain services.
  std::string manifest_;
};

/// @brief Runs attempts at one back end.
class RunHandler {
 public:
  /// @param state asked at each attempt.
  /// @param on_live_bytes called with the size of each piece of an answer.
  /// @param on_idle called when no work is left at the back end.
  RunHandler(Process& process, Address backend, std::uint64_t incarnation,
             std::uint64_t capacity, std::function<EndpointState()> state,
             std::function<void(std::size_t)> on_live_bytes,
             std::function<void()> on_idle);

  [[nodiscard]] std::size_t in_flight() const noexcept {
    return slots_.in_use();
  }
  [[nodiscard]] std::uint64_t incarnation() const noexcept {
    return guard_.incarnation();
  }

  [[nodiscard]] std::uint64_t RegisterIssuer() {
    return guard_.RegisterIssuer();
  }
  /// @brief Entries that send here of late.
  [[nodiscard]] std::size_t sharers() const;
  /// @brief Answers /v1/run.
  void Handle(const PeerCallPtr& call);
  /// @brief Refuses what waits for a slot; call when no work is taken.
  void RefuseWaiting();

 private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;

  /// @return true when the ticket permits to run.
  [[nodiscard]] bool CheckTicket(const PeerCallPtr& call,
                                 const RunMessage& message);
  [[nodiscard]] std::string ReasonToRefuse(const RunMessage& message) const;
  void Refuse(const PeerCallPtr& call, std::string reason) const;
  void Wait(std::uint64_t number, const AttemptPtr& attempt);
  void GiveUpWaiting(std::uint64_t number, const std::string& reason);
  void StartWaiting();
  void Forward(const AttemptPtr& attempt);
  void OnHead(const AttemptPtr& attempt, int status,
              const HttpHeaders& headers);
  void OnData(const AttemptPtr& attempt, std::string_view bytes);
  void OnEnd(const AttemptPtr& attempt, HttpEnd end);
  void Close(const AttemptPtr& attempt, RunFrame frame);
  [[nodiscard]] static bool IsWhole(const Attempt& attempt);

  Process& process_;
  Address backend_;
  std::function<EndpointState()> state_;
  std::function<void(std::size_t)> on_live_bytes_;
  std::function<void()> on_idle_;
  routing::ExecutionGuard guard_;
  routing::SlotQueue slots_;
  std::uint64_t last_number_ = 0;
  /// Attempts that wait for a slot, by their number in `slots_`.
  std::map<std::uint64_t, AttemptPtr> waiting_;
};

}  // namespace chalkwell::daemon
