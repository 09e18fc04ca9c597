// The log writer: limits the rate of lines and never blocks on a full pipe.
#include "daemon/log_writer.hpp"

#include <fcntl.h>
#include <log4cxx/helpers/pool.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>

namespace chalkwell::daemon {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart{1000s};

TEST_CASE("lines beyond the burst are limited by the rate", "[daemon]") {
  LogRateLimiter limiter({.lines_per_second_ = 10, .burst_ = 3});
  int accepted = 0;
  for (int i = 0; i < 10; ++i) {
    accepted += limiter.TryAcquire(kStart) ? 1 : 0;
  }
  CHECK(accepted == 3);
  CHECK_FALSE(limiter.TryAcquire(kStart + 50ms));
  CHECK(limiter.TryAcquire(kStart + 100ms));
  CHECK_FALSE(limiter.TryAcquire(kStart + 100ms));
}

TEST_CASE("a full pipe drops lines and does not block the writer", "[daemon]") {
  std::array<int, 2> pipe{};
  REQUIRE(::pipe(pipe.data()) == 0);
  LogWriter writer(pipe[1], {.lines_per_second_ = 1e9, .burst_ = 1e9},
                   [] { return kStart; });
  log4cxx::helpers::Pool pool;
  const std::string line = std::string(1000, 'x') + "\n";
  // Far more than a pipe holds: a blocking writer would never return.
  for (int i = 0; i < 1000; ++i) {
    writer.write(line, pool);
  }
  const auto dropped = writer.TakeDropped();
  CHECK(dropped > 0);
  CHECK(writer.TakeDropped() == 0);
  ::fcntl(pipe[0], F_SETFL, O_NONBLOCK);
  std::size_t bytes_read = 0;
  std::array<char, 4096> buffer{};
  for (ssize_t size = 0;
       (size = ::read(pipe[0], buffer.data(), buffer.size())) > 0;) {
    bytes_read += static_cast<std::size_t>(size);
  }
  CHECK(bytes_read == (1000 - dropped) * line.size());
  ::close(pipe[0]);
  ::close(pipe[1]);
}

}  // namespace
}  // namespace chalkwell::daemon
