// Preloaded into child processes of tests: advances their boot clock and wall
// clock by the nanoseconds stored in the file that CHALKWELL_SUSPENDED names.
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

std::int64_t* MapSuspendedTime() {
  const char* file = std::getenv("CHALKWELL_SUSPENDED");
  const int descriptor = file == nullptr ? -1 : ::open(file, O_RDWR);
  if (descriptor < 0) {
    return nullptr;
  }
  void* mapped = ::mmap(nullptr, sizeof(std::int64_t), PROT_READ | PROT_WRITE,
                        MAP_SHARED, descriptor, 0);
  ::close(descriptor);
  return mapped == MAP_FAILED ? nullptr : static_cast<std::int64_t*>(mapped);
}

std::int64_t SuspendedNs() {
  static std::int64_t* const suspended_ns = MapSuspendedTime();
  return suspended_ns == nullptr ? 0
                                 : std::atomic_ref<std::int64_t>(*suspended_ns)
                                       .load(std::memory_order_relaxed);
}

bool CountsSuspension(clockid_t id) {
  return id == CLOCK_BOOTTIME || id == CLOCK_REALTIME ||
         id == CLOCK_REALTIME_COARSE;
}

}  // namespace

extern "C" int clock_gettime(clockid_t id, timespec* now) noexcept {
  const auto result = ::syscall(SYS_clock_gettime, id, now);
  if (result == 0 && CountsSuspension(id)) {
    const auto nanoseconds = now->tv_nsec + SuspendedNs();
    now->tv_sec += nanoseconds / kNanosecondsPerSecond;
    now->tv_nsec = nanoseconds % kNanosecondsPerSecond;
  }
  return static_cast<int>(result);
}
