// Connections that are closing have a part of their own: each request that is
// refused leaves one, for as long as its caller goes on sending.
#include "chalkwell/routing/caller_connections.hpp"

#include <algorithm>

namespace chalkwell::routing {

CallerConnections::ConnectionId CallerConnections::Add(core::TimePoint now) {
  const auto id = ++last_id_;
  auto& idle = In(ConnectionPhase::kIdle);
  connections_[id] = idle.insert(idle.end(), {id, ConnectionPhase::kIdle, now});
  return id;
}

void CallerConnections::SetPhase(ConnectionId connection, ConnectionPhase phase,
                                 core::TimePoint now) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return;
  }
  const auto element = found->second;
  auto& queue = In(phase);
  queue.splice(queue.end(), In(element->phase_), element);
  element->phase_ = phase;
  element->since_ = now;
}

void CallerConnections::Remove(ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return;
  }
  In(found->second->phase_).erase(found->second);
  connections_.erase(found);
}

bool CallerConnections::full() const noexcept {
  if (settings_.max_connections_ == 0) {
    return false;
  }
  const auto in_use = size() - In(ConnectionPhase::kClosing).size();
  return in_use + max_closing() >= settings_.max_connections_;
}

std::optional<CallerConnections::ConnectionId> CallerConnections::SelectForNew(
    core::TimePoint now) const {
  const auto& idle = In(ConnectionPhase::kIdle);
  if (!idle.empty()) {
    return idle.front().id_;
  }
  const auto& receiving = In(ConnectionPhase::kReceiving);
  if (!receiving.empty() &&
      receiving.front().since_ + settings_.protected_time_ <= now) {
    return receiving.front().id_;
  }
  return std::nullopt;
}

std::optional<CallerConnections::ConnectionId>
CallerConnections::SelectOverdue() const {
  const auto& closing = In(ConnectionPhase::kClosing);
  if (settings_.max_connections_ == 0 || closing.size() <= max_closing()) {
    return std::nullopt;
  }
  return closing.front().id_;
}

std::size_t CallerConnections::max_closing() const noexcept {
  return std::max<std::size_t>(
      1,
      static_cast<std::size_t>(static_cast<double>(settings_.max_connections_) *
                               settings_.closing_share_));
}

}  // namespace chalkwell::routing
