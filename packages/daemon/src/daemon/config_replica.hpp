// Replica of the published configuration in one process: the accepted
// documents, their parsed form, and both sides of the /v1/sync call, by which
// processes exchange documents.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chalkwell/config/accepted_documents.hpp"
#include "chalkwell/config/published_lists.hpp"
#include "daemon/event_log.hpp"
#include "daemon/messages.hpp"
#include "daemon/metrics.hpp"

namespace chalkwell::daemon {

/// @brief The active configuration of a process, merged from the configuration
/// store and from peers.
///
/// Documents are verified and ordered by config::AcceptedDocuments; invalid and
/// conflicting ones are logged, older ones ignored. A document published in
/// shards (the instance lists) is parsed into one list.
///
/// Two exchanges run over /v1/sync. A periodic exchange starts with a
/// fingerprint; stamps and then documents follow only if the fingerprints
/// differ. A push starts with the stamps of the documents that just changed;
/// the peer replies with the keys for which it needs the document.
class ConfigReplica {
 public:
  /// @param trusted trusted keys from the settings: the root of trust for
  /// signed documents.
  ConfigReplica(core::InstanceId self,
                const std::vector<bundle::PublicKey>& trusted, EventLog& log,
                Metrics& metrics);

  [[nodiscard]] const core::InstanceId& self() const noexcept { return self_; }
  [[nodiscard]] const config::AcceptedDocuments& documents() const noexcept {
    return documents_;
  }
  [[nodiscard]] const std::vector<config::Instance>& instances()
      const noexcept {
    return instances_;
  }
  [[nodiscard]] const std::vector<config::ClientAccount>& accounts()
      const noexcept {
    return accounts_;
  }
  [[nodiscard]] const std::vector<config::Route>& routes() const noexcept {
    return routes_;
  }
  /// @brief Fingerprint of the stamps of all accepted documents; equal
  /// fingerprints are taken for equal documents. 0 before the first document.
  [[nodiscard]] std::uint64_t fingerprint() const noexcept {
    return fingerprint_;
  }
  /// @brief Sets whether the last read of the configuration store succeeded;
  /// sent to peers, which consider it when they assign the watcher role.
  void SetReachesService(bool reaches) noexcept { reaches_service_ = reaches; }
  /// @brief Adds an observer that is called after documents were accepted, with
  /// their keys.
  void OnChange(
      std::function<void(const std::vector<std::string>& keys)> observer);
  /// @brief Accepts the documents that are valid and newer, parses the active
  /// configuration again and notifies the observers.
  /// @param source sender of the documents, for log events.
  void Apply(const std::vector<config::Document>& documents,
             const std::string& source);
  /// @brief First request of a periodic exchange: only the fingerprint.
  [[nodiscard]] SyncMessage FirstRequest() const;
  /// @brief First request of a push: the stamps of some documents.
  /// @param keys keys of the documents that just changed.
  [[nodiscard]] SyncMessage PushRequest(
      const std::vector<std::string>& keys) const;
  /// @brief Applies the documents of a peer's request.
  /// @return the response: stamps, and documents that the peer requested, if
  /// the fingerprints still differ; for a push, the keys needed here.
  [[nodiscard]] SyncMessage HandleSync(const SyncMessage& message);
  /// @brief Handles the response to PushRequest().
  /// @return a request with the documents that the peer needs, or nothing.
  [[nodiscard]] std::optional<SyncMessage> HandlePushResponse(
      const SyncMessage& response) const;
  /// @brief Handles the response to FirstRequest(): applies its documents.
  /// @return a request that sends the documents that the peer lacks and
  /// requests those missing here, or nothing if neither side lacks any.
  [[nodiscard]] std::optional<SyncMessage> HandleExchangeResponse(
      const SyncMessage& response);

 private:
  /// A request that carries the documents of these keys.
  [[nodiscard]] SyncMessage DocumentsRequest(
      const std::vector<std::string>& keys) const;
  /// Keys of documents that the peer has and that are newer or unknown here.
  [[nodiscard]] std::vector<std::string> MissingKeys(
      const config::AcceptedDocuments::Versions& peer_stamps) const;
  /// Logs and counts the verdict on a document, unless it is unchanged or
  /// older.
  void LogVerdict(const config::Document& document,
                  const config::Acceptance& acceptance,
                  const std::string& source);
  void ParseDocuments();

  core::InstanceId self_;
  EventLog& log_;
  Metrics& metrics_;
  config::AcceptedDocuments documents_;
  std::vector<config::Instance> instances_;
  std::vector<config::ClientAccount> accounts_;
  std::vector<config::Route> routes_;
  std::uint64_t fingerprint_ = 0;
  bool reaches_service_ = true;
  std::vector<std::function<void(const std::vector<std::string>&)>> observers_;
};

}  // namespace chalkwell::daemon
