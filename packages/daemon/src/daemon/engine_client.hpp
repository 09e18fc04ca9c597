// HTTP client for the control interface of the engine that an agent manages.
// docs/INTERFACES.md describes the interface.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chalkwell/core/identifier.hpp"
#include "chalkwell/rollout/activation.hpp"
#include "daemon/address.hpp"
#include "daemon/http_client.hpp"

namespace chalkwell::daemon {

/// @brief Client for the control interface of one engine.
///
/// A call that fails or is refused is reported to its handler as not accepted,
/// or as an empty optional.
class EngineClient {
 public:
  using StateHandler = std::function<void(std::optional<rollout::EngineState>)>;
  using MissingHandler =
      std::function<void(std::optional<std::vector<std::size_t>>)>;
  using DoneHandler = std::function<void(bool accepted)>;

  EngineClient(HttpClient& client, Address address);

  [[nodiscard]] const Address& address() const noexcept { return address_; }

  /// @brief Queries the engine's state.
  /// @param done gets nothing if the engine does not respond with a valid
  /// state.
  void ReadState(StateHandler done);
  /// @brief Starts staging of the weights of a manifest.
  /// @param done gets the indexes of the chunks that the engine lacks; nothing
  /// if staging could not be started.
  void BeginStaging(const core::Digest& manifest, std::string manifest_text,
                    MissingHandler done);
  /// @brief Sends one chunk to be staged.
  /// @param chunk index in the manifest.
  void StageChunk(const core::Digest& manifest, std::size_t chunk,
                  const std::string& bytes, DoneHandler done);
  /// @brief Completes the staging: the engine verifies all chunks.
  /// @param done gets false if the engine refuses the staged weights.
  void SealStaging(const core::Digest& manifest, DoneHandler done);
  /// @brief Deletes staged weights; failures are ignored.
  void DeleteStaging(const core::Digest& manifest);
  /// @brief Orders the engine to activate staged weights.
  void Order(const rollout::SendOrder& order, DoneHandler done);
  /// @brief Claims the engine for a role under a new fencing number.
  void Claim(const rollout::SendClaim& claim, const core::Role& role,
             DoneHandler done);
  /// @brief Queries whether a service without weights responds to its health
  /// check.
  void CheckHealth(DoneHandler done);

 private:
  void Send(std::string method, std::string path, std::string body,
            std::function<void(HttpResponse)> done);

  HttpClient& client_;
  Address address_;
};

}  // namespace chalkwell::daemon
