// What both daemons that follow signed documents share: configuration and the
// reader of the configuration service.
#pragma once

#include <string>

#include "daemon/config_node.hpp"
#include "daemon/peer_connection.hpp"
#include "daemon/peer_server.hpp"
#include "daemon/platform_reader.hpp"
#include "daemon/process_base.hpp"

namespace chalkwell::daemon {

/// @brief Common parts of one entry or agent.
class Process : public ProcessBase {
 public:
  /// @param name of the subcommand.
  Process(Loop& loop, const Settings& settings, std::string name);

  [[nodiscard]] ConfigNode& config() noexcept { return config_; }
  [[nodiscard]] PlatformReader& platform() noexcept { return platform_; }
  [[nodiscard]] PeerConnectionSettings connection_settings() const;

  /// @brief Answers /v1/sync.
  /// @return the request.
  SyncMessage AnswerSync(const PeerCallPtr& call);
  /// @brief Answers a malformed call: the error goes to the log and the peer.
  void AnswerError(const PeerCallPtr& call, const std::exception& error);

 private:
  ConfigNode config_;
  PlatformReader platform_;
};

}  // namespace chalkwell::daemon
