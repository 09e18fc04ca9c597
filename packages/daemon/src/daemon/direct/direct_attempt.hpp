// One attempt of a request on the direct path: what was sent to the endpoint
// and what has arrived from it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/event_splitter.hpp"
#include "chalkwell/routing/request_tracker.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/loop.hpp"
#include "daemon/tracer.hpp"

namespace chalkwell::daemon::direct {

/// @brief An attempt that was sent.
struct DirectAttempt {
  explicit DirectAttempt(Loop& loop) : timer_(loop) {}

  routing::AttemptNumber number_ = 0;
  routing::EndpointChoice choice_;
  core::TimePoint sent_at_;
  /// When the head or the last part of the response arrived, of a stream the
  /// last event; `sent_at_` before the first.
  core::TimePoint last_data_at_;
  /// Constraint on the weights version when the endpoint was chosen; replaced
  /// while it does not limit the version of the endpoint.
  routing::VersionConstraint version_constraint_;
  Span span_;
  /// Null once the call has ended.
  std::shared_ptr<HttpCall> call_;
  int status_ = 0;
  HttpHeaders headers_;
  ResponseHead response_head_;
  std::string body_;
  bool response_started_ = false;
  /// The endpoint's system has acknowledged the whole request.
  bool delivered_ = false;
  /// The response is a stream, forwarded event by event.
  bool streaming_ = false;
  /// Nothing has arrived for longer than expected.
  bool silent_ = false;
  /// What shows the end of the response; none before its head.
  std::optional<HttpFraming> framing_;
  /// The endpoint table counts the attempt as in flight.
  bool counted_in_flight_ = false;
  /// Why this process abandoned the attempt; empty if it did not.
  std::string_view abandon_reason_;
  /// How the call ended; none while it is in flight or if this process
  /// cancelled it.
  std::optional<HttpEnd> call_end_;
  /// Continues the events that were forwarded when the attempt was sent.
  routing::EventSplitter events_;
  /// Checks the attempt while it waits for its endpoint.
  Timer timer_;

  /// @brief Only the end of the connection ends the response.
  [[nodiscard]] bool unframed() const noexcept {
    return framing_ == HttpFraming::kConnectionEnd;
  }
  [[nodiscard]] const core::InstanceId& endpoint() const noexcept {
    return choice_.row_.id_;
  }
};

}  // namespace chalkwell::daemon::direct
