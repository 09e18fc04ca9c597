// A pipe that polls as writable accepts PIPE_BUF bytes without blocking, so no
// line is written that is longer.
#include "daemon/log_writer.hpp"

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <utility>

namespace chalkwell::daemon {

LogWriter::LogWriter(int descriptor, LogRateLimit limit,
                     std::function<core::TimePoint()> now)
    : descriptor_(descriptor), rate_limiter_(limit), now_(std::move(now)) {}

bool LogWriter::HasRoom() const noexcept {
  pollfd poll_descriptor{.fd = descriptor_, .events = POLLOUT, .revents = 0};
  return ::poll(&poll_descriptor, 1, 0) == 1 &&
         (poll_descriptor.revents & POLLOUT) != 0;
}

void LogWriter::write(const log4cxx::LogString& line,
                      log4cxx::helpers::Pool& /*pool*/) {
  if (!rate_limiter_.TryAcquire(now_()) || !HasRoom()) {
    ++dropped_;
    return;
  }
  if (line.size() <= PIPE_BUF) {
    // A failed write cannot be reported: this is the log.
    (void)!::write(descriptor_, line.data(), line.size());
    return;
  }
  const auto truncated = line.substr(0, PIPE_BUF - 1) + "\n";
  (void)!::write(descriptor_, truncated.data(), truncated.size());
}

std::uint64_t LogWriter::TakeDropped() noexcept {
  return std::exchange(dropped_, 0);
}

}  // namespace chalkwell::daemon
