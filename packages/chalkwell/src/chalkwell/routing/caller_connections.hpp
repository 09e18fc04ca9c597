// Division of the descriptors for callers' connections: which connection is
// closed for a new one.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief What a connection is used for.
enum class ConnectionPhase : std::uint8_t {
  /// No request has begun, or the last one has ended.
  kIdle,
  /// A request is being received.
  kReceiving,
  /// A request is being handled.
  kHandling,
  /// The server has written its last response; it discards what still arrives.
  kClosing,
};

/// @brief Limits of CallerConnections.
struct CallerConnectionsSettings {
  /// Connections; 0 for no limit.
  std::size_t max_connections_ = 0;
  /// Part of them that may be closing; at least one.
  double closing_share_ = 0.125;
  /// A request that has been received for less than this is not ended for a new
  /// connection.
  core::Duration protected_time_ = std::chrono::seconds(1);
};

/// @brief The open connections of a server, and their limit.
class CallerConnections {
 public:
  using ConnectionId = std::uint64_t;

  explicit CallerConnections(CallerConnectionsSettings settings) noexcept
      : settings_(settings) {}
  // Elements of the queues are referred to by iterators.
  CallerConnections(CallerConnections&&) = default;
  CallerConnections& operator=(CallerConnections&&) = default;
  CallerConnections(const CallerConnections&) = delete;
  CallerConnections& operator=(const CallerConnections&) = delete;
  ~CallerConnections() = default;

  /// @brief Adds an idle connection.
  [[nodiscard]] ConnectionId Add(core::TimePoint now);
  void SetPhase(ConnectionId connection, ConnectionPhase phase,
                core::TimePoint now);
  void Remove(ConnectionId connection);

  /// @brief Whether a new connection has no place.
  [[nodiscard]] bool full() const noexcept;
  /// @brief The connection to close for a new one: the one that has been idle
  /// for longest, or else the one that has received its request for longest.
  /// @return none if all handle requests, or have begun to receive one just
  /// now.
  [[nodiscard]] std::optional<ConnectionId> SelectForNew(
      core::TimePoint now) const;
  /// @brief The connection that has been closing for longest, if more are
  /// closing than may be.
  [[nodiscard]] std::optional<ConnectionId> SelectOverdue() const;
  [[nodiscard]] ConnectionPhase PhaseOf(ConnectionId connection) const {
    return connections_.at(connection)->phase_;
  }
  /// @brief Number of open connections.
  [[nodiscard]] std::size_t size() const noexcept {
    return connections_.size();
  }

 private:
  struct Connection {
    ConnectionId id_ = 0;
    ConnectionPhase phase_ = ConnectionPhase::kIdle;
    core::TimePoint since_;
  };
  /// Ordered by the time since when the phase has lasted, since time does not
  /// go back.
  using Queue = std::list<Connection>;

  [[nodiscard]] const Queue& In(ConnectionPhase phase) const {
    return by_phase_.at(static_cast<std::size_t>(phase));
  }
  [[nodiscard]] Queue& In(ConnectionPhase phase) {
    return by_phase_.at(static_cast<std::size_t>(phase));
  }
  [[nodiscard]] std::size_t max_closing() const noexcept;

  CallerConnectionsSettings settings_;
  ConnectionId last_id_ = 0;
  std::unordered_map<ConnectionId, Queue::iterator> connections_;
  std::array<Queue, 4> by_phase_;
};

}  // namespace chalkwell::routing
