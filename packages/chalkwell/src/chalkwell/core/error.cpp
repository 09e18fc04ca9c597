// Formats error messages as "step peer: message".
#include "chalkwell/core/error.hpp"

#include <utility>

namespace chalkwell::core {

std::string_view ToString(Step step) noexcept {
  switch (step) {
    case Step::kSettings:
      return "settings";
    case Step::kParse:
      return "parse";
    case Step::kVerify:
      return "verify";
    case Step::kListen:
      return "listen";
    case Step::kConnect:
      return "connect";
    case Step::kSend:
      return "send";
    case Step::kReceive:
      return "receive";
    case Step::kFetchWeights:
      return "fetch weights";
    case Step::kStageWeights:
      return "stage weights";
    case Step::kSendEngineOrder:
      return "order engine";
    case Step::kReadStore:
      return "read platform";
  }
  return "unknown";
}

namespace internal {

std::string Describe(Step step, const std::string& peer,
                     const std::string& message) {
  std::string text(ToString(step));
  if (!peer.empty()) {
    text += " " + peer;
  }
  return text + ": " + message;
}

}  // namespace internal

Error::Error(Step step, std::string peer, const std::string& message)
    : std::runtime_error(internal::Describe(step, peer, message)),
      step_(step),
      peer_(std::move(peer)) {}

}  // namespace chalkwell::core
