// Reader of the configuration store: single reads and a long-polling watch,
// with jittered exponential backoff while reads fail.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>

#include "daemon/address.hpp"
#include "daemon/config_replica.hpp"
#include "daemon/http_client.hpp"
#include "daemon/loop.hpp"

namespace chalkwell::daemon {

/// @brief Reads published documents from the configuration store and applies
/// them to the configuration of this process.
///
/// Only changes after the last revision read are requested. A failed read (any
/// status but success, a lost connection or a malformed body) is logged once
/// until a read succeeds again; while watching, it is retried after a backoff
/// from 250 ms up to 16 s.
class StoreReader {
 public:
  /// @param max_wait how long the store may delay the response to a watch
  /// until something changes.
  StoreReader(Loop& loop, HttpClient& client, Address address,
              core::Duration max_wait, ConfigReplica& node, EventLog& log,
              Metrics& metrics);

  [[nodiscard]] bool watching() const noexcept { return watching_; }
  /// @brief Whether at least one read has succeeded.
  [[nodiscard]] bool has_read() const noexcept { return has_read_; }

  /// @brief Starts or stops watching. A read in flight is not cancelled.
  void SetWatching(bool watching);
  /// @brief Reads once, without waiting for a change. No effect while watching
  /// or while a read is in flight.
  void ReadOnce();

 private:
  void Read(core::Duration wait);
  void OnResponse(const HttpResponse& response);
  /// Parses a response and applies its documents.
  /// @throws core::Error for a malformed body.
  void ApplyBody(const std::string& body);
  void ScheduleNext(bool succeeded);

  HttpClient& client_;
  Address address_;
  core::Duration max_wait_;
  ConfigReplica& node_;
  EventLog& log_;
  Metrics& metrics_;
  Timer timer_;
  std::mt19937_64 random_;
  /// The store's revision as of the last read; later changes are requested.
  std::uint64_t revision_ = 0;
  /// Consecutive failed reads; determines the backoff.
  unsigned failures_ = 0;
  bool watching_ = false;
  bool has_read_ = false;
  /// Whether the last read succeeded.
  bool reachable_ = true;
  /// The read in flight, or null.
  std::shared_ptr<HttpCall> call_;
};

}  // namespace chalkwell::daemon
