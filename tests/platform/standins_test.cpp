// An exception on the loop thread of the fakes must reach the thread that waits
// for the task.
//
// A second start of a running endpoint binds an address in use. When the
// exception was lost on the loop thread, the caller waited forever.
#include "standins.hpp"

#include <catch2/catch.hpp>
#include <stdexcept>

namespace chalkwell::standins {
namespace {

TEST_CASE("a second start of a running endpoint throws", "[platform]") {
  LoopThread thread;
  EndpointStandin endpoint(thread, "i-first");
  // The first start has chosen the port, so the second one uses the same.
  CHECK_THROWS_AS(endpoint.Start(), std::runtime_error);
  // The loop still runs tasks, and the first server still listens.
  CHECK(endpoint.running());
}

}  // namespace
}  // namespace chalkwell::standins
