// One span for each hop, W3C traceparent in and out, exported as OTLP/JSON.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "daemon/address.hpp"
#include "daemon/http_client.hpp"
#include "daemon/loop.hpp"

namespace chalkwell::daemon {

/// @brief Place of a span in its trace.
struct SpanContext {
  /// 32 hexadecimal digits.
  std::string trace_;
  /// 16 hexadecimal digits.
  std::string span_;

  /// @brief Value of the `traceparent` header.
  [[nodiscard]] std::string ToHeader() const;
  /// @return nothing when the header is malformed.
  [[nodiscard]] static std::optional<SpanContext> FromHeader(
      std::string_view header);
};

/// @brief A span under way.
struct Span {
  SpanContext context_;
  /// Empty for the first span of a trace.
  std::string parent_;
  std::string name_;
  /// Since the epoch.
  std::chrono::nanoseconds start_{};
};

/// @brief Makes spans and exports them in batches; drops them when the
/// collector does not keep up.
class Tracer {
 public:
  /// @param collector where OTLP/JSON is posted; nothing means no export.
  Tracer(Loop& loop, HttpClient& client, std::string service,
         std::optional<Address> collector);

  /// @param traceparent header of the caller; may be empty.
  [[nodiscard]] Span Begin(std::string name, std::string_view traceparent);
  void End(const Span& span, bool ok);
  /// @brief Whether spans go anywhere.
  [[nodiscard]] bool exports() const noexcept { return collector_.has_value(); }

 private:
  struct Finished {
    Span span_;
    std::chrono::nanoseconds end_{};
    bool ok_ = true;
  };

  [[nodiscard]] std::string RandomHex(std::size_t digits);
  void Export();

  HttpClient& client_;
  std::string service_;
  std::optional<Address> collector_;
  std::mt19937_64 random_;
  /// At most kMaxBuffered.
  std::deque<Finished> finished_;
  Timer timer_;
};

}  // namespace chalkwell::daemon
