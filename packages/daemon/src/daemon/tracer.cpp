// Builds OTLP/JSON and posts it with HttpClient.
#include "daemon/tracer.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace chalkwell::daemon {
namespace {

constexpr std::size_t kMaxBufferedSpans = 4096;
// Layout of `traceparent`: version "00", trace id, span id and flags, separated
// by hyphens.
constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
constexpr std::size_t kTraceparentSize = 55;
constexpr std::size_t kTraceIdOffset = 3;
constexpr std::size_t kSpanIdOffset = 36;
constexpr auto kExportPeriod = std::chrono::seconds(1);
// Values of OTLP enumerations.
constexpr int kStatusOk = 1;
constexpr int kStatusError = 2;
constexpr int kSpanKindServer = 2;

std::chrono::nanoseconds SinceEpoch() {
  return std::chrono::system_clock::now().time_since_epoch();
}

bool IsHex(std::string_view text) {
  return std::ranges::all_of(text, [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

}  // namespace

std::string SpanContext::ToHeader() const {
  return "00-" + trace_id_ + "-" + span_id_ + "-01";
}

std::optional<SpanContext> SpanContext::FromHeader(std::string_view header) {
  if (header.size() < kTraceparentSize) {
    return std::nullopt;
  }
  const auto trace = header.substr(kTraceIdOffset, kTraceIdDigits);
  const auto span = header.substr(kSpanIdOffset, kSpanIdDigits);
  if (!IsHex(trace) || !IsHex(span)) {
    return std::nullopt;
  }
  return SpanContext{std::string(trace), std::string(span)};
}

Tracer::Tracer(Loop& loop, HttpClient& client, std::string service,
               std::optional<Address> collector)
    : client_(client),
      service_(std::move(service)),
      collector_(std::move(collector)),
      random_(std::random_device{}()),
      timer_(loop) {
  if (collector_) {
    timer_.Every(kExportPeriod, [this] { Export(); });
  }
}

std::string Tracer::RandomHex(std::size_t digits) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(digits, '0');
  for (auto& digit : text) {
    digit = kDigits[random_() % kDigits.size()];
  }
  return text;
}

Span Tracer::Begin(std::string name, std::string_view traceparent) {
  Span span{.context_ = {}, .parent_id_ = "", .name_ = std::move(name)};
  if (const auto parent = SpanContext::FromHeader(traceparent)) {
    span.context_.trace_id_ = parent->trace_id_;
    span.parent_id_ = parent->span_id_;
  } else {
    span.context_.trace_id_ = RandomHex(kTraceIdDigits);
  }
  span.context_.span_id_ = RandomHex(kSpanIdDigits);
  span.start_ = SinceEpoch();
  return span;
}

void Tracer::End(const Span& span, bool ok) {
  if (collector_ && finished_.size() < kMaxBufferedSpans) {
    finished_.push_back({span, SinceEpoch(), ok});
  }
}

void Tracer::Export() {
  if (finished_.empty()) {
    return;
  }
  auto spans = nlohmann::json::array();
  for (const auto& [span, end, ok] : std::exchange(finished_, {})) {
    spans.push_back({{"traceId", span.context_.trace_id_},
                     {"spanId", span.context_.span_id_},
                     {"parentSpanId", span.parent_id_},
                     {"name", span.name_},
                     {"kind", kSpanKindServer},
                     {"startTimeUnixNano", std::to_string(span.start_.count())},
                     {"endTimeUnixNano", std::to_string(end.count())},
                     {"status", {{"code", ok ? kStatusOk : kStatusError}}}});
  }
  const nlohmann::json attribute{{"key", "service.name"},
                                 {"value", {{"stringValue", service_}}}};
  const nlohmann::json body{
      {"resourceSpans",
       {{{"resource", {{"attributes", {attribute}}}},
         {"scopeSpans",
          {{{"scope", {{"name", "chalkwell"}}}, {"spans", spans}}}}}}}};
  HttpRequest request{.method_ = "POST",
                      .path_ = "/v1/traces",
                      .headers_ = {{"content-type", "application/json"}},
                      .body_ = body.dump()};
  client_.Fetch(*collector_, request, [](const HttpResponse&) {});
}

}  // namespace chalkwell::daemon
