// The deadline bounds how long a request takes, its target latency how long it
// usually takes at most.
#include "chalkwell/routing/stop_admission.hpp"

#include <algorithm>

namespace chalkwell::routing {

bool CanFinishBefore(core::TimePoint end, const LateRequest& request,
                     core::TimePoint now) {
  const auto usual_end =
      std::min(request.deadline_, now + request.target_latency_);
  return (request.repeatable_ ? usual_end : request.deadline_) <= end;
}

}  // namespace chalkwell::routing
