// Control calls to the engine, with JSON bodies.
#include "daemon/engine_client.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "chalkwell/core/json.hpp"

namespace chalkwell::daemon {
namespace {

std::string StagingPath(const core::Digest& manifest) {
  return "/v1/staging/" + manifest.ToHex();
}

std::optional<rollout::EngineState> ParseState(const HttpResponse& response) {
  if (!response.ok()) {
    return std::nullopt;
  }
  const auto document = nlohmann::json::parse(response.body_, nullptr, false);
  if (!document.is_object()) {
    return std::nullopt;
  }
  return rollout::EngineState{
      .version_ = document.value("version", std::uint64_t{0}),
      .manifest_ = core::Digest::FromHex(document.value("manifest", ""))
                       .value_or(core::Digest{}),
      .fence_ = document.value("fence", std::uint64_t{0}),
      .load_ = document.value("load", std::uint64_t{0})};
}

std::optional<std::vector<std::size_t>> ParseMissing(
    const HttpResponse& response) {
  if (!response.ok()) {
    return std::nullopt;
  }
  const auto document = nlohmann::json::parse(response.body_, nullptr, false);
  if (!document.is_object() || !document.contains("missing")) {
    return std::nullopt;
  }
  return document["missing"].get<std::vector<std::size_t>>();
}

}  // namespace

EngineClient::EngineClient(HttpClient& client, Address address)
    : client_(client), address_(std::move(address)) {}

void EngineClient::Send(std::string method, std::string path, std::string body,
                        std::function<void(HttpResponse)> done) {
  const HttpRequest request{.method_ = std::move(method),
                            .path_ = std::move(path),
                            .headers_ = {},
                            .body_ = std::move(body)};
  client_.Fetch(address_, request, std::move(done));
}

void EngineClient::ReadState(StateHandler done) {
  Send("GET", "/v1/state", "",
       [done = std::move(done)](const HttpResponse& response) {
         done(ParseState(response));
       });
}

void EngineClient::BeginStaging(const core::Digest& manifest,
                                std::string manifest_text,
                                MissingHandler done) {
  Send("POST", StagingPath(manifest), std::move(manifest_text),
       [done = std::move(done)](const HttpResponse& response) {
         done(ParseMissing(response));
       });
}

void EngineClient::StageChunk(const core::Digest& manifest, std::size_t chunk,
                              const std::string& bytes, DoneHandler done) {
  Send("PUT", StagingPath(manifest) + "/chunks/" + std::to_string(chunk), bytes,
       [done = std::move(done)](const HttpResponse& response) {
         done(response.ok());
       });
}

void EngineClient::SealStaging(const core::Digest& manifest, DoneHandler done) {
  Send("POST", StagingPath(manifest) + "/seal", "",
       [done = std::move(done)](const HttpResponse& response) {
         done(response.ok());
       });
}

void EngineClient::DeleteStaging(const core::Digest& manifest) {
  Send("DELETE", StagingPath(manifest), "", [](const HttpResponse&) {});
}

void EngineClient::Order(const rollout::SendOrder& order, DoneHandler done) {
  const nlohmann::json body{{"fence", order.fence_},
                            {"version", order.target_.version_},
                            {"manifest", order.target_.manifest_.ToHex()}};
  Send("POST", "/v1/orders", body.dump(),
       [done = std::move(done)](const HttpResponse& response) {
         done(response.ok());
       });
}

void EngineClient::Claim(const rollout::SendClaim& claim,
                         const core::Role& role, DoneHandler done) {
  const nlohmann::json body{{"fence", claim.fence_}, {"role", role.value()}};
  Send("POST", "/v1/orders", body.dump(),
       [done = std::move(done)](const HttpResponse& response) {
         done(response.ok());
       });
}

void EngineClient::CheckHealth(DoneHandler done) {
  Send("GET", "/healthz", "",
       [done = std::move(done)](const HttpResponse& response) {
         done(response.ok());
       });
}

}  // namespace chalkwell::daemon
