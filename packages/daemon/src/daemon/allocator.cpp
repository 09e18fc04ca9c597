// The C library is glibc; see mallopt(3) and malloc_trim(3).
#include "daemon/allocator.hpp"

#include <malloc.h>

namespace chalkwell::daemon {
namespace {

/// Large enough that parsing a document neither maps blocks nor resizes the
/// heap each time. Setting them disables their adjustment; what stays in the
/// heap after a peak is returned explicitly.
constexpr int kMapThresholdBytes = 1 << 20;
constexpr int kTrimThresholdBytes = 4 << 20;

}  // namespace

void ConfigureAllocator() noexcept {
  (void)::mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  (void)::mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

void ReturnFreeMemory() noexcept { (void)::malloc_trim(0); }

}  // namespace chalkwell::daemon
