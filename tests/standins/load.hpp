// Load generator: sends requests as callers do, each to a random entry as
// behind the platform's load balancer, and checks every response.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "daemon/http_client.hpp"

namespace chalkwell::standins {

/// @brief Settings of a load.
struct LoadSettings {
  std::vector<daemon::Address> entries_;
  std::string key_;
  double requests_per_second_ = 20;
  /// Share of requests to plain services, 0 to 1; the others go to engines.
  double service_share_ = 0.2;
  std::string chat_path_ = "/v1/chat/completions";
  std::string service_path_ = "/records/orders";
  std::string model_;
  /// Output tokens of each engine request.
  std::uint64_t tokens_ = 24;
  /// Number of distinct prompt prefixes.
  std::size_t prefixes_ = 8;
  /// 0 for no limit: it runs until Stop is called.
  core::Duration duration_{};
  std::uint64_t seed_ = 1;
  /// File for the result as JSON; empty for standard output.
  std::string out_;
  /// Maximum number of attempts of one request.
  unsigned max_tries_ = 20;
  /// Deadline that is sent to the entry; 0 for none.
  std::uint64_t deadline_ms_ = 0;
};

/// @brief Number of requests by outcome.
struct LoadCounts {
  std::uint64_t sent_ = 0;
  /// Correct responses.
  std::uint64_t answered_ = 0;
  /// No final outcome, although the request may have run.
  std::uint64_t lost_ = 0;
  /// The entry reported that the outcome is unknown.
  std::uint64_t unknown_ = 0;
  /// All attempts were refused without a run.
  std::uint64_t refused_ = 0;
  /// The entry reported another failure of a service request.
  std::uint64_t failed_ = 0;
  /// Responses that differ from the expected one of a single weights version.
  std::uint64_t wrong_ = 0;
  /// Attempts of all requests.
  std::uint64_t tries_ = 0;
  /// Responses that ended before the final outcome.
  std::uint64_t broken_ = 0;
};

/// @brief Sends requests at a constant rate, independent of the responses.
class Load {
 public:
  Load(daemon::Loop& loop, const LoadSettings& settings);

  /// @brief Stops sending; when all requests have ended, writes the result and
  /// stops the loop.
  void Stop();

 private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  void SendNext();
  void Try(const CallPtr& call);
  void OnEnd(const CallPtr& call, daemon::HttpEnd end);
  void OnComplete(const CallPtr& call);
  void Retry(const CallPtr& call, core::Duration delay);
  void Close(const CallPtr& call, std::uint64_t LoadCounts::*count);
  void FinishIfDone();
  [[nodiscard]] static bool IsTruncated(const Call& call);
  [[nodiscard]] bool IsCorrect(const Call& call) const;
  [[nodiscard]] std::string Result() const;

  daemon::Loop& loop_;
  LoadSettings settings_;
  daemon::HttpClient client_;
  std::mt19937_64 random_;
  LoadCounts counts_;
  std::size_t in_flight_ = 0;
  bool stopping_ = false;
  /// Time to the first data of a stream, and between its data.
  std::vector<double> first_byte_ms_;
  std::vector<double> gap_ms_;
  std::vector<double> total_ms_;
  /// Ids of service requests with a correct response; each must have run once.
  std::vector<std::string> service_answered_;
  daemon::Timer send_timer_;
  daemon::Timer stop_timer_;
};

}  // namespace chalkwell::standins
