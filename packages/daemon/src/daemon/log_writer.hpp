// Writes log lines to standard output without ever waiting for its reader.
#pragma once

#include <log4cxx/helpers/writer.h>

#include <cstdint>
#include <functional>

#include "daemon/line_budget.hpp"

namespace chalkwell::daemon {

/// @brief Drops and counts the lines that are over the budget or for which the
/// pipe has no room.
class LogWriter : public log4cxx::helpers::Writer {
 public:
  /// @param now clock of the budget.
  LogWriter(int descriptor, LineBudgetSettings settings,
            std::function<core::TimePoint()> now);

  void write(const log4cxx::LogString& line,
             log4cxx::helpers::Pool& pool) override;
  void flush(log4cxx::helpers::Pool& /*pool*/) override {}
  void close(log4cxx::helpers::Pool& /*pool*/) override {}

  /// @brief Lines dropped since the last call.
  [[nodiscard]] std::uint64_t TakeDropped() noexcept;

 private:
  [[nodiscard]] bool HasRoom() const noexcept;

  int descriptor_;
  LineBudget budget_;
  std::function<core::TimePoint()> now_;
  std::uint64_t dropped_ = 0;
};

}  // namespace chalkwell::daemon
