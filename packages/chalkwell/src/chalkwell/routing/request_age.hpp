// How long ago a caller first asked, as the time it has left shows.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief Learns the time that callers of each route give a fresh request.
///
/// Callers set the same time to the millisecond for each fresh request, while
/// those that come back have what is left, scattered. A time that is seen again
/// and again is therefore that of fresh requests. Callers that give times of
/// their own each are not taken for old, but by a process that has just
/// started: it goes by the longest time that it has seen.
class RequestAge {
 public:
  /// @brief Takes a request and tells its age; zero when it is not known.
  core::Duration OnRequest(const std::string& route, core::Duration time_left);

 private:
  struct Seen {
    /// The last ones, oldest first; at most kMemory.
    std::deque<std::int64_t> last_;
    /// How often each of them is among the last.
    std::map<std::int64_t, std::uint32_t> counts_;
  };

  std::map<std::string, Seen> routes_;
};

}  // namespace chalkwell::routing
