// Times before which endpoints that refused a request of this entry accept no
// further one. They are kept apart from the published rows, which may lapse and
// return meanwhile.
#pragma once

#include <cstddef>
#include <map>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/routing/endpoint_incarnation.hpp"

namespace chalkwell::routing {

/// @brief When endpoints accept requests of this entry again.
class EndpointRetryTimes {
 public:
  /// @brief Records that an incarnation refused a request.
  /// @param retry_at end of the time for which it asked for no requests. Of
  /// several ones the latest applies.
  /// @return whether it was not known to refuse requests now.
  bool OnRefused(const EndpointIncarnation& endpoint, core::TimePoint retry_at,
                 core::TimePoint now);
  /// @brief Whether an incarnation still asks for no requests.
  [[nodiscard]] bool Defers(const EndpointIncarnation& endpoint,
                            core::TimePoint now) const;
  /// @return when the incarnation accepts requests; the clock's epoch if it
  /// does so now.
  [[nodiscard]] core::TimePoint RetryAt(const EndpointIncarnation& endpoint,
                                        core::TimePoint now) const;
  /// @brief Number of endpoints that ask for no requests.
  [[nodiscard]] std::size_t DeferredCount(core::TimePoint now) const;

 private:
  struct RetryTime {
    EndpointIncarnation endpoint_;
    core::TimePoint retry_at_;
  };

  /// By id of the endpoint. Times that have passed are erased when one is
  /// added.
  std::map<core::InstanceId, RetryTime> times_;
};

}  // namespace chalkwell::routing
