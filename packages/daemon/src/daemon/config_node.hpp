// The configuration of one process: accepted documents, their parsed form, and
// the sync call by which processes tell each other what they hold.
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

/// @brief Holder of the configuration in force.
class ConfigNode {
 public:
  ConfigNode(core::InstanceId self,
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
  /// @brief Fingerprint of what is held.
  [[nodiscard]] std::uint64_t fingerprint() const noexcept {
    return fingerprint_;
  }
  /// @brief Whether this process can read the service; told to peers.
  void SetReachesService(bool reaches) noexcept { reaches_service_ = reaches; }
  /// @brief Called after each accepted change, with the keys that changed.
  void OnChange(
      std::function<void(const std::vector<std::string>& keys)> observer);
  /// @brief Takes documents from the service or a peer.
  /// @param source named in events.
  void Offer(const std::vector<config::Document>& documents,
             const std::string& source);
  /// @brief First request of an exchange: the fingerprint alone.
  [[nodiscard]] SyncMessage FirstRequest() const;
  /// @brief First request of a push: stamps of what just changed.
  [[nodiscard]] SyncMessage PushRequest(
      const std::vector<std::string>& keys) const;
  /// @brief Answers a peer's request.
  [[nodiscard]] SyncMessage HandleSync(const SyncMessage& message);
  /// @brief Takes the answer to an own push.
  /// @return the documents that the peer lacks, if any.
  [[nodiscard]] std::optional<SyncMessage> HandlePushAnswer(
      const SyncMessage& answer) const;
  /// @brief Takes the answer to an own request of a periodic exchange.
  /// @return the next request, if the two processes still differ.
  [[nodiscard]] std::optional<SyncMessage> HandleAnswer(
      const SyncMessage& answer);

 private:
  [[nodiscard]] SyncMessage DocumentsFor(
      const std::vector<std::string>& keys) const;
  [[nodiscard]] std::vector<std::string> LackedOf(
      const config::AcceptedDocuments::Stamps& theirs) const;
  void Report(const config::Document& document,
              const config::Acceptance& acceptance, const std::string& source);
  void Parse();

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
