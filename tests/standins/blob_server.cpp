// The number of a request determines whether its response is damaged, so that
// runs are reproducible.
#include "standins/blob_server.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "standins/deterministic_responses.hpp"
#include "standins/query.hpp"

namespace chalkwell::standins {
namespace {

constexpr std::string_view kBlobsPath = "/blobs/";
constexpr auto kBurstTime = std::chrono::milliseconds(20);
constexpr std::uint64_t kPercent = 100;
constexpr std::size_t kNameLength = 64;

}  // namespace

BlobServer::BlobServer(daemon::Loop& loop, const BlobServerSettings& settings)
    : loop_(loop),
      settings_(settings),
      pacer_(settings.bytes_per_second_, kBurstTime),
      window_start_(loop.Now()),
      server_(loop, {.address_ = settings.address_},
              [this](const daemon::HttpExchangePtr& exchange) {
                OnRequest(exchange);
              }) {}

void BlobServer::OnRequest(const daemon::HttpExchangePtr& exchange) {
  const auto& path = exchange->request().path_;
  if (path.starts_with("/control/")) {
    OnControl(exchange);
    return;
  }
  const bool valid_name = path.starts_with(kBlobsPath) &&
                          path.size() == kBlobsPath.size() + kNameLength;
  if (faults_.down_) {
    exchange->Respond(503, {}, "down");
  } else if (!valid_name) {
    exchange->Respond(404, {}, "no such blob");
  } else if (!CountRequest()) {
    exchange->Respond(429, {}, "too many requests");
  } else {
    Serve(exchange, path.substr(kBlobsPath.size()));
  }
}

bool BlobServer::CountRequest() {
  const auto now = loop_.Now();
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    window_requests_ = 0;
  }
  ++window_requests_;
  return settings_.requests_per_second_ == 0 ||
         window_requests_ <= settings_.requests_per_second_;
}

void BlobServer::Serve(const daemon::HttpExchangePtr& exchange,
                       const std::string& name) {
  const auto bucket = std::stoull(name.substr(0, 8), nullptr, 16) % kPercent;
  std::ifstream file(settings_.folder_ + "/blobs/" + name, std::ios::binary);
  if (bucket >= settings_.held_percent_ || !file) {
    exchange->Respond(404, {}, "no such blob");
    return;
  }
  std::ostringstream content;
  content << file.rdbuf();
  auto bytes = Damage(content.str());
  ++requests_;
  bytes_ += bytes.size();
  ++sent_[name];
  const auto wait = pacer_.Reserve(bytes.size(), loop_.Now()) +
                    std::chrono::milliseconds(faults_.stall_ms_);
  loop_.After(wait, [exchange, bytes = std::move(bytes)] {
    exchange->Respond(200, {{"content-type", "application/octet-stream"}},
                      bytes);
  });
}

std::string BlobServer::Damage(std::string bytes) {
  const auto bucket =
      std::stoull(Receipt("damage", std::to_string(requests_)).substr(0, 8),
                  nullptr, 16) %
      kPercent;
  if (bucket < faults_.corrupt_percent_ && !bytes.empty()) {
    bytes[bytes.size() / 2] = static_cast<char>(~bytes[bytes.size() / 2]);
  } else if (bucket < faults_.corrupt_percent_ + faults_.truncate_percent_) {
    bytes.resize(bytes.size() / 2);
  }
  return bytes;
}

void BlobServer::OnControl(const daemon::HttpExchangePtr& exchange) {
  const auto query = ParseQuery(exchange->request().path_);
  if (exchange->request().path_.starts_with("/control/faults")) {
    faults_ = {.corrupt_percent_ = NumberOf(query, "corrupt"),
               .truncate_percent_ = NumberOf(query, "truncate"),
               .stall_ms_ = NumberOf(query, "stall_ms"),
               .down_ = NumberOf(query, "down") != 0};
  }
  std::uint64_t repeated = 0;
  for (const auto& [name, times] : sent_) {
    repeated += times > 1 ? 1 : 0;
  }
  exchange->Respond(
      200, {{"content-type", "application/json"}},
      nlohmann::json{
          {"requests", requests_}, {"bytes", bytes_}, {"repeated", repeated}}
          .dump());
}

}  // namespace chalkwell::standins
