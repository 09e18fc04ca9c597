// The log: bounded by rate, and it never waits for whoever reads the pipe.
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

TEST_CASE("lines beyond the burst wait for the rate", "[daemon]") {
  LogRateLimiter budget({.lines_per_second_ = 10, .burst_ = 3});
  int taken = 0;
  for (int i = 0; i < 10; ++i) {
    taken += budget.TryAcquire(kStart) ? 1 : 0;
  }
  CHECK(taken == 3);
  CHECK_FALSE(budget.TryAcquire(kStart + 50ms));
  CHECK(budget.TryAcquire(kStart + 100ms));
  CHECK_FALSE(budget.TryAcquire(kStart + 100ms));
}

TEST_CASE("a full pipe costs lines, not time", "[daemon]") {
  std::array<int, 2> pipe{};
  REQUIRE(::pipe(pipe.data()) == 0);
  LogWriter writer(pipe[1], {.lines_per_second_ = 1e9, .burst_ = 1e9},
                   [] { return kStart; });
  log4cxx::helpers::Pool pool;
  const std::string line = std::string(1000, 'x') + "\n";
  // Far more than a pipe holds; a writer that waits would never return.
  for (int i = 0; i < 1000; ++i) {
    writer.write(line, pool);
  }
  const auto dropped = writer.TakeDropped();
  CHECK(dropped > 0);
  CHECK(writer.TakeDropped() == 0);
  ::fcntl(pipe[0], F_SETFL, O_NONBLOCK);
  std::size_t read = 0;
  std::array<char, 4096> buffer{};
  for (ssize_t size = 0;
       (size = ::read(pipe[0], buffer.data(), buffer.size())) > 0;) {
    read += static_cast<std::size_t>(size);
  }
  CHECK(read == (1000 - dropped) * line.size());
  ::close(pipe[0]);
  ::close(pipe[1]);
}

}  // namespace
}  // namespace chalkwell::daemon
