// A pipe that polls as writable takes at least PIPE_BUF bytes at once.
#include "daemon/log_writer.hpp"

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <utility>

namespace chalkwell::daemon {

LogWriter::LogWriter(int descriptor, LineBudgetSettings settings,
                     std::function<core::TimePoint()> now)
    : descriptor_(descriptor), budget_(settings), now_(std::move(now)) {}

bool LogWriter::HasRoom() const noexcept {
  pollfd waits{.fd = descriptor_, .events = POLLOUT, .revents = 0};
  return ::poll(&waits, 1, 0) == 1 && (waits.revents & POLLOUT) != 0;
}

void LogWriter::write(const log4cxx::LogString& line,
                      log4cxx::helpers::Pool& /*pool*/) {
  if (!budget_.Take(now_()) || !HasRoom()) {
    ++dropped_;
    return;
  }
  if (line.size() <= PIPE_BUF) {
    // A write that fails leaves no one to tell.
    (void)!::write(descriptor_, line.data(), line.size());
    return;
  }
  const auto cut = line.substr(0, PIPE_BUF - 1) + "\n";
  (void)!::write(descriptor_, cut.data(), cut.size());
}

std::uint64_t LogWriter::TakeDropped() noexcept {
  return std::exchange(dropped_, 0);
}

}  // namespace chalkwell::daemon
