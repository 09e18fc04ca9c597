// Parts of a daemon that uses the product's own interface, where the
// configuration is published as documents.
#pragma once

#include <string>

#include "daemon/config_replica.hpp"
#include "daemon/peer_connection.hpp"
#include "daemon/peer_server.hpp"
#include "daemon/process_base.hpp"
#include "daemon/store_reader.hpp"

namespace chalkwell::daemon {

/// @brief Common parts of an entry or agent: the configuration, the reader of
/// the configuration store and the settings of peer connections.
class Process : public ProcessBase {
 public:
  /// @param name name of the subcommand, `entry` or `agent`.
  Process(Loop& loop, const Settings& settings, std::string name);

  [[nodiscard]] ConfigReplica& config() noexcept { return config_; }
  [[nodiscard]] StoreReader& store_reader() noexcept { return store_reader_; }
  [[nodiscard]] PeerConnectionSettings connection_settings() const;

  /// @brief Handles a /v1/sync call and responds to it.
  /// @return the request.
  /// @throws core::Error for a malformed body; the call then has no response.
  SyncMessage HandleSync(const PeerCallPtr& call);
  /// @brief Responds to a malformed call with status 400 and the error, and
  /// logs the error.
  void RespondError(const PeerCallPtr& call, const std::exception& error);

 private:
  ConfigReplica config_;
  StoreReader store_reader_;
};

}  // namespace chalkwell::daemon
