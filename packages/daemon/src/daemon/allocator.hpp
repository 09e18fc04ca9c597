// Settings of the C library's allocator, so that freed memory returns to the
// system.
#pragma once

namespace chalkwell::daemon {

/// @brief Lets large blocks always be mapped on their own, so that they return
/// when they are freed. By default the allocator raises the size from which it
/// does so with each large block that is freed, up to 32 MiB.
void ConfigureAllocator() noexcept;

/// @brief Returns the free pages between used blocks to the system. Takes time
/// in proportion to the heap.
void ReturnFreeMemory() noexcept;

}  // namespace chalkwell::daemon
