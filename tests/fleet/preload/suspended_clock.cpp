// Preloaded into children of tests: their boot clock and time of day run ahead
// of the system's by the length that the file of CHALKWELL_SUSPENDED holds.
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

std::int64_t* MapLength() {
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
  static std::int64_t* const length = MapLength();
  return length == nullptr ? 0
                           : std::atomic_ref<std::int64_t>(*length).load(
                                 std::memory_order_relaxed);
}

bool CountsSuspension(clockid_t id) {
  return id == CLOCK_BOOTTIME || id == CLOCK_REALTIME ||
         id == CLOCK_REALTIME_COARSE;
}

}  // namespace

extern "C" int clock_gettime(clockid_t id, timespec* out) noexcept {
  const auto result = ::syscall(SYS_clock_gettime, id, out);
  if (result == 0 && CountsSuspension(id)) {
    const auto total = out->tv_nsec + SuspendedNs();
    out->tv_sec += total / kNanosecondsPerSecond;
    out->tv_nsec = total % kNanosecondsPerSecond;
  }
  return static_cast<int>(result);
}
