// The children read the suspended time from a mapped file.
#include "fleet/suspension.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>
#include <utility>

namespace chalkwell::fleet {

Suspension::Suspension(std::filesystem::path file) : file_(std::move(file)) {
  const int descriptor = ::open(file_.c_str(), O_RDWR | O_CREAT, 0644);
  if (descriptor < 0 || ::ftruncate(descriptor, sizeof(std::int64_t)) != 0) {
    throw std::runtime_error("cannot create " + file_.string());
  }
  void* mapped = ::mmap(nullptr, sizeof(std::int64_t), PROT_READ | PROT_WRITE,
                        MAP_SHARED, descriptor, 0);
  ::close(descriptor);
  if (mapped == MAP_FAILED) {
    throw std::runtime_error("cannot map " + file_.string());
  }
  suspended_ns_ = static_cast<std::int64_t*>(mapped);
}

Suspension::~Suspension() {
  ::munmap(suspended_ns_, sizeof(std::int64_t));
  std::error_code ignored;
  std::filesystem::remove(file_, ignored);
}

std::vector<std::string> Suspension::environment() const {
  return {std::string("LD_PRELOAD=") + CHALKWELL_SUSPENDED_CLOCK,
          "CHALKWELL_SUSPENDED=" + file_.string()};
}

void Suspension::AddSuspendedTime(std::chrono::nanoseconds duration) {
  std::atomic_ref<std::int64_t>(*suspended_ns_) += duration.count();
}

}  // namespace chalkwell::fleet
