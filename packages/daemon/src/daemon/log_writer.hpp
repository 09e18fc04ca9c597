// Writes log lines to a pipe without ever blocking on its reader.
#pragma once

#include <log4cxx/helpers/writer.h>

#include <cstdint>
#include <functional>

#include "daemon/log_rate_limiter.hpp"

namespace chalkwell::daemon {

/// @brief log4cxx writer that drops and counts lines over a rate limit and
/// lines for which the pipe has no room. Lines longer than PIPE_BUF are
/// truncated.
class LogWriter : public log4cxx::helpers::Writer {
 public:
  /// @param descriptor file descriptor of the pipe; not closed here.
  /// @param now clock of the rate limit.
  LogWriter(int descriptor, LogRateLimit limit,
            std::function<core::TimePoint()> now);

  void write(const log4cxx::LogString& line,
             log4cxx::helpers::Pool& pool) override;
  void flush(log4cxx::helpers::Pool& /*pool*/) override {}
  void close(log4cxx::helpers::Pool& /*pool*/) override {}

  /// @return number of lines dropped since the last call.
  [[nodiscard]] std::uint64_t TakeDropped() noexcept;

 private:
  [[nodiscard]] bool HasRoom() const noexcept;

  int descriptor_;
  LogRateLimiter rate_limiter_;
  std::function<core::TimePoint()> now_;
  std::uint64_t dropped_ = 0;
};

}  // namespace chalkwell::daemon
