// Sizes are counted in whole pages, so that few changes reach the account.
#include "daemon/caller_memory.hpp"

#include <algorithm>
#include <utility>

#include "daemon/allocator.hpp"

namespace chalkwell::daemon {
namespace {

constexpr std::size_t kPageBytes = 4096;
/// Memory is returned after a peak of at least this part of the limit, once
/// less than half of the peak is held.
constexpr std::size_t kPeakDivisor = 8;
/// Between the end of a peak and the return, so that a herd of requests that
/// end together causes one return.
constexpr auto kReturnDelay = std::chrono::milliseconds(500);

std::size_t ToWholePages(std::size_t bytes) {
  return bytes / kPageBytes * kPageBytes;
}

}  // namespace

CallerMemory::CallerMemory(Loop& loop, routing::RequestMemorySettings settings)
    : loop_(loop), memory_(settings), return_timer_(loop) {}

void CallerMemory::OnShrunk() {
  const bool was_high = peak_ >= limit() / kPeakDivisor;
  if (!was_high || held() > peak_ / 2) {
    return;
  }
  peak_ = held();
  return_timer_.Once(kReturnDelay, [] { ReturnFreeMemory(); });
}

MemoryLease::MemoryLease(std::shared_ptr<CallerMemory> memory,
                         std::function<void()> on_ended)
    : memory_(std::move(memory)), on_ended_(std::move(on_ended)) {}

MemoryLease::~MemoryLease() {
  if (holder_ != 0) {
    memory_->on_ended_.erase(holder_);
    memory_->memory_.Remove(holder_);
    memory_->OnShrunk();
  }
}

void MemoryLease::Join() {
  if (holder_ != 0) {
    return;
  }
  holder_ = memory_->memory_.Add();
  if (on_ended_) {
    memory_->on_ended_.emplace(holder_, on_ended_);
  }
  if (receiving_since_) {
    memory_->memory_.BeginReceiving(holder_, *receiving_since_);
  }
}

void MemoryLease::BeginReceiving() {
  if (memory_ == nullptr) {
    return;
  }
  receiving_since_ = memory_->loop_.Now();
  if (holder_ != 0) {
    memory_->memory_.BeginReceiving(holder_, *receiving_since_);
  }
}

void MemoryLease::EndReceiving() {
  receiving_since_ = std::nullopt;
  if (holder_ != 0) {
    memory_->memory_.EndReceiving(holder_);
  }
}

bool MemoryLease::Grow(std::size_t bytes) {
  const auto pages = ToWholePages(bytes);
  if (memory_ == nullptr || pages == bytes_) {
    return true;
  }
  Join();
  const auto growth =
      memory_->memory_.Grow(holder_, pages, memory_->loop_.Now());
  for (const auto ended : growth.ended_) {
    const auto found = memory_->on_ended_.find(ended);
    if (found != memory_->on_ended_.end()) {
      // Moved out, because the call destroys the lease.
      const auto on_ended = std::move(found->second);
      memory_->on_ended_.erase(found);
      Guarded(on_ended);
    }
  }
  if (growth.granted_) {
    bytes_ = pages;
    memory_->peak_ = std::max(memory_->peak_, memory_->held());
  }
  return growth.granted_;
}

void MemoryLease::Set(std::size_t bytes) {
  const auto pages = ToWholePages(bytes);
  if (memory_ == nullptr || pages == bytes_) {
    return;
  }
  Join();
  bytes_ = pages;
  memory_->memory_.Set(holder_, pages);
  memory_->peak_ = std::max(memory_->peak_, memory_->held());
}

}  // namespace chalkwell::daemon
