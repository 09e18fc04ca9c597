// Distributed tracing: one span per hop, propagated in the W3C `traceparent`
// header and exported as OTLP/JSON.
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

/// @brief Identifiers of a span, as in the `traceparent` header.
struct SpanContext {
  /// 32 lower-case hexadecimal digits.
  std::string trace_id_;
  /// 16 lower-case hexadecimal digits.
  std::string span_id_;

  /// @brief Value of the `traceparent` header.
  [[nodiscard]] std::string ToHeader() const;
  /// @return nothing when the header is malformed.
  [[nodiscard]] static std::optional<SpanContext> FromHeader(
      std::string_view header);
};

/// @brief A span that has started.
struct Span {
  SpanContext context_;
  /// Span id of the parent; empty for the first span of a trace.
  std::string parent_id_;
  std::string name_;
  /// Unix time.
  std::chrono::nanoseconds start_{};
};

/// @brief Creates spans and posts the finished ones to a collector once a
/// second. At most 4096 are buffered in between; further ones are dropped, as
/// are those of a post that fails.
class Tracer {
 public:
  /// @param service value of the `service.name` attribute.
  /// @param collector receives OTLP/JSON at /v1/traces; nullopt disables the
  /// export.
  Tracer(Loop& loop, HttpClient& client, std::string service,
         std::optional<Address> collector);

  /// @brief Starts a span: a child of the caller's, or the first span of a new
  /// trace.
  /// @param traceparent header of the caller; empty or malformed for none.
  [[nodiscard]] Span Begin(std::string name, std::string_view traceparent);
  /// @brief Finishes a span and buffers it for the export.
  /// @param ok status of the span: ok or error.
  void End(const Span& span, bool ok);
  /// @brief Whether spans are exported.
  [[nodiscard]] bool exporting() const noexcept {
    return collector_.has_value();
  }

 private:
  struct FinishedSpan {
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
  /// Not yet exported; at most kMaxBufferedSpans.
  std::deque<FinishedSpan> finished_;
  Timer timer_;
};

}  // namespace chalkwell::daemon
