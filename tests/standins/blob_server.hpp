// Fake of the weights store and the origin: serves the blobs of a folder at a
// limited rate. Control calls inject corrupt, truncated and delayed responses.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "chalkwell/swarm/pacer.hpp"
#include "daemon/http_server.hpp"

namespace chalkwell::standins {

/// @brief Settings of the fake.
struct BlobServerSettings {
  daemon::Address address_;
  std::string folder_;
  /// Link rate; 0 for no limit.
  std::uint64_t bytes_per_second_ = 0;
  /// Further requests within a second get 429; 0 for no limit.
  std::uint64_t requests_per_second_ = 0;
  /// Percentage of the blobs that it holds; the others get 404.
  std::uint64_t held_percent_ = 100;
};

/// @brief Serves /blobs/DIGEST; /control/ sets faults and returns statistics.
class BlobServer {
 public:
  BlobServer(daemon::Loop& loop, const BlobServerSettings& settings);

 private:
  /// Injected faults; percentages of the responses.
  struct Faults {
    std::uint64_t corrupt_percent_ = 0;
    std::uint64_t truncate_percent_ = 0;
    std::uint64_t stall_ms_ = 0;
    bool down_ = false;
  };

  void OnRequest(const daemon::HttpExchangePtr& exchange);
  void OnControl(const daemon::HttpExchangePtr& exchange);
  void Serve(const daemon::HttpExchangePtr& exchange, const std::string& name);
  [[nodiscard]] std::string Damage(std::string bytes);
  [[nodiscard]] bool CountRequest();

  daemon::Loop& loop_;
  BlobServerSettings settings_;
  swarm::Pacer pacer_;
  Faults faults_;
  std::uint64_t requests_ = 0;
  std::uint64_t bytes_ = 0;
  /// Number of times that each blob was sent, by name.
  std::map<std::string, std::uint64_t> sent_;
  /// Start of the current second for the limit of requests.
  core::TimePoint window_start_;
  std::uint64_t window_requests_ = 0;
  daemon::HttpServer server_;
};

}  // namespace chalkwell::standins
