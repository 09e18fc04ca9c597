// The relay shows a terminated target as the network does.
#include "fleet/relay.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "daemon/address.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

bool IsRefused(const std::string& address) {
  const auto to = daemon::ParseAddress(address).ToSockaddr();
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int result =
      connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  const bool refused = result != 0 && errno == ECONNREFUSED;
  close(socket);
  return refused;
}

TEST_CASE("a relayed address does not accept for a terminated process",
          "[platform][relay]") {
  Deployment deployment;
  auto& endpoint = deployment.first_;
  const auto relayed = LocalAddress(FreePort());
  const fleet::Relay relay({{relayed, endpoint.address(), "", ""}}, {});
  CHECK_FALSE(IsRefused(relayed));
  endpoint.Stop();
  // It is noticed at the end of a connection at the latest.
  CHECK(Eventually([&] { return IsRefused(relayed); }));
  endpoint.Start();
  CHECK(Eventually([&] { return !IsRefused(relayed); }));
}

}  // namespace
}  // namespace chalkwell::platform_tests
