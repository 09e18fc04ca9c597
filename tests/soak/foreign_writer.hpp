// Another writer of the store, which leaves entries of any name and value among
// those of the endpoints and operators.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "platform/standins.hpp"

namespace chalkwell::soak {

/// @brief Writes and removes foreign entries at random times.
///
/// It has a random sequence of its own, so that it does not change what else a
/// seed injects.
class ForeignWriter {
 public:
  ForeignWriter(std::uint64_t seed, standins::StoreStandin& store)
      : random_(seed), store_(store) {}

  /// @brief Writes or removes an entry if it is time to.
  void Tick(std::chrono::steady_clock::time_point now);
  [[nodiscard]] unsigned written() const noexcept { return written_; }

 private:
  [[nodiscard]] std::size_t Draw(std::size_t count);
  [[nodiscard]] std::string DrawKey();
  [[nodiscard]] std::string DrawValue();

  std::mt19937_64 random_;
  standins::StoreStandin& store_;
  std::chrono::steady_clock::time_point next_;
  /// Keys of the entries that are there, the oldest first.
  std::vector<std::string> keys_;
  unsigned written_ = 0;
};

}  // namespace chalkwell::soak
