// Invariants of a load's result that hold under every injected fault.
#pragma once

#include <catch2/catch.hpp>

#include "fleet/scenario.hpp"

namespace chalkwell::fleet {

/// @brief Checks that requests were sent, that no response was wrong, that no
/// order ran more than once, and that no order was answered that no service
/// ran.
inline void CheckLoadInvariants(const LoadResult& result) {
  CHECK(result.sent_ > 0);
  CHECK(result.wrong_ == 0);
  CHECK(result.executed_repeatedly_ == 0);
  CHECK(result.never_executed_ == 0);
}

}  // namespace chalkwell::fleet
