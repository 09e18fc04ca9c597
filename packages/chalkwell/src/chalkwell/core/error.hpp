// Errors with the processing step and the peer at which they occurred.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::core {

/// @brief The processing step in which an error occurred.
enum class Step : std::uint8_t {
  kSettings,
  kParse,
  kVerify,
  kListen,
  kConnect,
  kSend,
  kReceive,
  kFetchWeights,
  kStageWeights,
  kSendEngineOrder,
  kReadStore,
};

/// @brief Stable lower-case name of a step, as written to logs.
[[nodiscard]] std::string_view ToString(Step step) noexcept;

/// @brief An error with its processing step and the peer involved.
class Error : public std::runtime_error {
 public:
  /// @param peer the remote side of the connection or the origin of the data;
  /// may be empty.
  Error(Step step, std::string peer, const std::string& message);

  [[nodiscard]] Step step() const noexcept { return step_; }
  [[nodiscard]] const std::string& peer() const noexcept { return peer_; }

 private:
  Step step_;
  std::string peer_;
};

}  // namespace chalkwell::core
