// The C library is glibc; see mallopt(3) and malloc_trim(3).
#include "daemon/allocator.hpp"

#include <malloc.h>

namespace chalkwell::daemon {
namespace {

/// The allocator's initial values; setting them disables their adjustment.
constexpr int kMapThresholdBytes = 128 << 10;
constexpr int kTrimThresholdBytes = 128 << 10;

}  // namespace

void ConfigureAllocator() noexcept {
  (void)::mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  (void)::mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

void ReturnFreeMemory() noexcept { (void)::malloc_trim(0); }

}  // namespace chalkwell::daemon
