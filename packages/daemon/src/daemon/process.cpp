// Composition of the configuration parts from the settings.
#include "daemon/process.hpp"

#include <utility>

namespace chalkwell::daemon {
namespace {

std::vector<bundle::PublicKey> TrustedKeys(const Settings& settings) {
  std::vector<bundle::PublicKey> keys;
  for (const auto& text : settings.List("bundle", "trusted_keys")) {
    keys.push_back(*bundle::PublicKey::FromHex(text));
  }
  return keys;
}

}  // namespace

Process::Process(Loop& loop, const Settings& settings, std::string name)
    : ProcessBase(loop, settings, std::move(name)),
      config_(id(), TrustedKeys(settings), log(), metrics()),
      store_reader_(loop, http_client(),
                    ParseAddress(settings.Text("platform", "address")),
                    settings.Milliseconds("platform", "watch_wait_ms"), config_,
                    log(), metrics()) {}

PeerConnectionSettings Process::connection_settings() const {
  PeerConnectionSettings connection;
  connection.receive_timeout_ = settings().Milliseconds("peer", "silence_ms");
  connection.ping_interval_ = connection.receive_timeout_ / 3;
  connection.source_ip_ = ParseAddress(settings().Text("listen", "peer")).ip_;
  return connection;
}

SyncMessage Process::HandleSync(const PeerCallPtr& call) {
  auto message = Unpack<SyncMessage>(call->body(), "sync");
  call->Respond(200, Pack(config_.HandleSync(message)));
  return message;
}

void Process::RespondError(const PeerCallPtr& call,
                           const std::exception& error) {
  log().Write(core::EventNumber::kPeerProtocol,
              {{"path", std::string(call->path())}, {"error", error.what()}});
  call->Respond(400, error.what());
}

}  // namespace chalkwell::daemon
