// A deployment on the users' platform in miniature: real entries and agents
// against stand-ins of its store, endpoints and source of weights.
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

inline constexpr std::size_t kPieces = 5;

/// @brief Address of a port on this machine.
[[nodiscard]] std::string Local(std::uint16_t port);

/// @brief Waits until a condition holds.
/// @return false when it does not within far more time than anything here
/// takes.
[[nodiscard]] bool Eventually(const std::function<bool()>& condition);

/// @brief One process of the system.
struct Node {
  std::uint16_t caller_ = FreePort();
  std::uint16_t ready_ = FreePort();
  std::uint16_t peer_ = FreePort();
  std::uint16_t admin_ = FreePort();
  Child child_;

  [[nodiscard]] bool Ready() const;
};

/// @brief Limits of callers, as published.
struct CallerLimits {
  std::size_t header_bytes_ = 4096;
  std::size_t body_bytes_ = 1000;
  int header_ms_ = 3000;
  /// Longest time of a request, whatever its caller says.
  int timeout_ms_ = 4000;
};

/// @brief A process that knows another one at its start: both listen for peers
/// on one port, at addresses of their own, as on the users' machines.
struct Beside {
  const Node* seed_ = nullptr;
  /// Last number of its own address; the seed's is 1.
  int host_ = 2;
  /// Where an agent's engine listens; empty for the deployment's own.
  std::string engine_;
};

/// @brief A store, two endpoints of a service, one of a model.
class Deployment {
 public:
  Deployment();
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void PutRules(std::uint64_t version, const std::vector<std::string>& keys);
  void PutRules(StoreStandin& store, std::uint64_t version,
                const std::vector<std::string>& keys);
  void PutRows();
  void PutRows(StoreStandin& store);
  [[nodiscard]] Node StartEntry(const std::string& name,
                                const std::string& store,
                                const Node* seed = nullptr);
  [[nodiscard]] Node StartEntry(const std::string& name,
                                const std::string& store, const Beside& beside);
  [[nodiscard]] Node StartAgent(const std::string& name,
                                const Beside& beside = {});
  [[nodiscard]] std::string Log(const std::string& name) const;

  LoopThread thread_;
  StoreStandin store_{thread_};
  EndpointStandin first_{thread_, "i-first"};
  EndpointStandin second_{thread_, "i-second"};
  EndpointStandin engine_{thread_, "i-engine"};
  OriginStandin origin_{thread_, kPieces};
  std::filesystem::path folder_;
  CallerLimits limits_;
  /// Routes beyond the five that requests take; they make the rules large.
  std::size_t more_routes_ = 0;
  /// Of processes started from now on; "NAME=VALUE".
  std::vector<std::string> environment_;
};

/// @brief Text of a caller's request.
/// @param body four characters.
[[nodiscard]] std::string RequestText(const std::string& path,
                                      const std::string& key = "k1",
                                      const std::string& extra = "",
                                      const std::string& body = "body");
/// @brief What an entry answers to a request.
[[nodiscard]] std::string Ask(const Node& node, const std::string& text);
/// @brief Status of an answer; empty when nothing was answered.
[[nodiscard]] std::string Status(const std::string& answer);

}  // namespace chalkwell::platform_tests
