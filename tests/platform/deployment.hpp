// Small deployment for end-to-end tests: real entry and agent processes that
// use fakes of the external platform's store, endpoints and weights origin.
#pragma once

#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "fleet/child.hpp"
#include "standins.hpp"

namespace chalkwell::platform_tests {

using fleet::Child;
using fleet::FreePort;
using standins::EndpointStandin;
using standins::LoopThread;
using standins::OriginStandin;
using standins::StoreStandin;

/// Chunks of each weights version.
inline constexpr std::size_t kChunkCount = 5;

/// @brief Returns the loopback address with a port.
[[nodiscard]] std::string LocalAddress(std::uint16_t port);

/// @brief Polls a condition until it holds.
/// @return false when it still does not hold after 20 s, far longer than
/// anything in these tests takes.
[[nodiscard]] bool Eventually(const std::function<bool()>& condition);

/// @brief An entry or agent process and its ports; an agent uses only the peer
/// and admin ports.
struct Node {
  std::uint16_t caller_port_ = FreePort();
  std::uint16_t ready_port_ = FreePort();
  std::uint16_t peer_port_ = FreePort();
  std::uint16_t admin_port_ = FreePort();
  Child child_;

  /// @brief Whether the readiness check responds 200.
  [[nodiscard]] bool Ready() const;
};

/// @brief Limits on callers' requests in the published rules.
struct CallerLimits {
  std::size_t header_bytes_ = 4096;
  std::size_t body_bytes_ = 1000;
  int header_timeout_ms_ = 3000;
  /// Upper limit of a request's deadline, whatever its caller states.
  int request_timeout_ms_ = 4000;
};

/// @brief Options of a process that is started with a seed.
///
/// Both listen for peers on the same port at different loopback addresses, as
/// processes on separate machines do.
struct NodeOptions {
  const Node* seed_ = nullptr;
  /// N of its address 127.0.0.N; the seed has 1.
  int host_number_ = 2;
  /// Address of an agent's engine; empty for Deployment::engine_.
  std::string engine_address_;
  /// Setting platform.first_read_wait_ms of an entry.
  int first_read_wait_ms_ = 0;
  /// Setting rollout.version_bound_ms of an entry.
  int version_bound_ms_ = 8000;
  /// Retries that each request earns. An entry that has just started may make
  /// no others.
  int retry_share_ = 1;
  /// Settings process.memory_mb and process.max_descriptors of an entry; 0 for
  /// the default.
  int memory_mb_ = 0;
  int max_descriptors_ = 0;
};

/// @brief Store, weights origin, two endpoints of service "plain" and one
/// engine of service "pool", with published rules and endpoint rows.
class Deployment {
 public:
  Deployment();
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// @brief Publishes rules.
  /// @param keys API keys of the only client account.
  void PutRules(std::uint64_t version, const std::vector<std::string>& keys);
  void PutRules(StoreStandin& store, std::uint64_t version,
                const std::vector<std::string>& keys);
  /// @brief Publishes the rows of all endpoints.
  void PutRows();
  void PutRows(StoreStandin& store);
  /// @brief Starts an entry process; does not wait until it is ready.
  /// @param name instance id; also names its settings and log files.
  /// @param store address of the configuration store.
  [[nodiscard]] Node StartEntry(const std::string& name,
                                const std::string& store,
                                const Node* seed = nullptr);
  [[nodiscard]] Node StartEntry(const std::string& name,
                                const std::string& store,
                                const NodeOptions& options);
  /// @brief Starts an agent process; does not wait until it is ready.
  [[nodiscard]] Node StartAgent(const std::string& name,
                                const NodeOptions& options = {});
  /// @brief Returns the log that a process has written so far.
  [[nodiscard]] std::string Log(const std::string& name) const;

  LoopThread thread_;
  StoreStandin store_{thread_};
  EndpointStandin first_{thread_, "i-first"};
  EndpointStandin second_{thread_, "i-second"};
  EndpointStandin engine_{thread_, "i-engine"};
  OriginStandin origin_{thread_, kChunkCount};
  std::filesystem::path folder_;
  CallerLimits limits_;
  /// Routes in addition to the five that tests use, to make the rules large.
  std::size_t extra_routes_ = 0;
  /// Regions that the route "/safe/" and the client account allow; empty for
  /// all. Failure domain z1 lies in region "north", z2 in "south".
  std::vector<std::string> safe_route_regions_;
  std::vector<std::string> account_regions_;
  /// Environment of processes started from now on, as "NAME=VALUE".
  std::vector<std::string> environment_;
};

/// @brief Returns a POST request as sent on the wire.
/// @param extra header lines, each with its line end.
/// @param body exactly four bytes: the content length is fixed.
[[nodiscard]] std::string RequestText(const std::string& path,
                                      const std::string& key = "k1",
                                      const std::string& extra = "",
                                      const std::string& body = "body",
                                      int deadline_ms = 3000);
/// @brief Sends a request to an entry and reads the response until the
/// connection closes.
[[nodiscard]] std::string SendRequest(const Node& node,
                                      const std::string& text);
/// @brief Returns the status code of a response; empty without a status line.
[[nodiscard]] std::string Status(const std::string& response);

}  // namespace chalkwell::platform_tests
