// Validation of callers' requests.
#include "daemon/request_reader.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "chalkwell/core/error.hpp"

namespace chalkwell::daemon {
namespace {

constexpr std::size_t kMaxRequestIdLength = 128;
constexpr std::size_t kMaxPrefixBytes = 256;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kTicketPath = "/v1/tickets";

[[noreturn]] void ThrowMalformed(const std::string& message) {
  throw core::Error(core::Step::kParse, "", message);
}

/// A body that is not a JSON object is treated as empty, without model and
/// prefix; the backend decides whether to accept it.
nlohmann::json ParseBody(const HttpRequest& http) {
  auto body = nlohmann::json::parse(http.body_, nullptr, false);
  return body.is_object() ? body : nlohmann::json::object();
}

std::string PromptPrefix(const nlohmann::json& body) {
  std::string text;
  const auto prompt = body.find("prompt");
  const auto messages = body.find("messages");
  if (prompt != body.end() && prompt->is_string()) {
    text = prompt->get<std::string>();
  } else if (messages != body.end()) {
    text = messages->dump(-1, ' ', false,
                          nlohmann::json::error_handler_t::replace);
  }
  return text.substr(0, kMaxPrefixBytes);
}

/// Whether the body names no model, or the model or an adapter of the bundle.
bool AcceptsModel(const bundle::Bundle& bundle, const nlohmann::json& body) {
  const auto model = body.find("model");
  if (model == body.end() || *model == bundle.model_) {
    return true;
  }
  return std::ranges::any_of(bundle.adapters_, [&](const std::string& adapter) {
    return *model == adapter;
  });
}

std::string_view PathWithoutQuery(const HttpRequest& http) {
  const std::string_view path = http.path_;
  return path.substr(0, path.find('?'));
}

}  // namespace

RequestReader::RequestReader(const ConfigReplica& config,
                             const Settings& settings)
    : config_(config),
      default_deadline_(
          settings.Milliseconds("requests", "default_deadline_ms")),
      max_deadline_(settings.Milliseconds("requests", "max_deadline_ms")),
      retry_after_(settings.Milliseconds("requests", "retry_after_ms")),
      max_attempts_(static_cast<routing::AttemptNumber>(
          settings.Number("requests", "max_attempts"))) {}

std::optional<std::string> RequestReader::ParseRequestId(
    const HttpRequest& http) {
  const auto given = FindHeader(http.headers_, "x-request-id");
  if (given.empty()) {
    return std::nullopt;
  }
  const bool printable =
      std::ranges::all_of(given, [](char c) { return c > ' ' && c < '\x7f'; });
  if (given.size() > kMaxRequestIdLength || !printable) {
    ThrowMalformed(
        "header 'x-request-id' must be 1 to 128 printable characters without "
        "spaces");
  }
  return std::string(given);
}

const config::ClientAccount* RequestReader::FindAccount(
    const HttpRequest& http) const {
  const auto header = FindHeader(http.headers_, "authorization");
  if (!header.starts_with(kBearer)) {
    return nullptr;
  }
  const auto digest = core::Digest::Of(header.substr(kBearer.size()));
  const auto found = std::ranges::find(config_.accounts(), digest,
                                       &config::ClientAccount::key_digest_);
  return found == config_.accounts().end() ? nullptr : &*found;
}

const config::Route* RequestReader::FindRoute(std::string_view path) const {
  const config::Route* best = nullptr;
  for (const auto& route : config_.routes()) {
    const bool longer =
        best == nullptr || route.prefix_.size() > best->prefix_.size();
    if (path.starts_with(route.prefix_) && longer) {
      best = &route;
    }
  }
  return best;
}

core::TimePoint RequestReader::ParseDeadline(const HttpRequest& http,
                                             core::TimePoint now) const {
  const auto text = FindHeader(http.headers_, "x-deadline-ms");
  if (text.empty()) {
    return now + std::min(default_deadline_, max_deadline_);
  }
  std::uint32_t requested_ms = 0;
  const auto* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, requested_ms);
  if (error != std::errc{} || parsed != end || requested_ms == 0) {
    ThrowMalformed(
        "header 'x-deadline-ms' must be a whole number of at least 1");
  }
  const core::Duration requested = std::chrono::milliseconds(requested_ms);
  return now + std::min(requested, max_deadline_);
}

ReadResult RequestReader::Read(const HttpRequest& http, const std::string& id,
                               core::TimePoint now) const {
  const auto* account = FindAccount(http);
  if (account == nullptr) {
    return Rejection{
        kUnauthorized, core::EventNumber::kAccountRefused,
        "header 'authorization' must carry 'Bearer KEY' of a known account"};
  }
  const auto path = PathWithoutQuery(http);
  const bool for_ticket = path.starts_with(kTicketPath);
  const auto* route =
      FindRoute(for_ticket ? path.substr(kTicketPath.size()) : path);
  if (route == nullptr) {
    return Rejection{
        kNotFound, core::EventNumber::kBadRequest,
        "path '" + std::string(path) + "' belongs to no published route"};
  }
  if (for_ticket) {
    return TicketRequest{route->role_};
  }
  const auto body = ParseBody(http);
  const auto* bundle = config_.documents().AcceptedBundle();
  const bool has_model = bundle != nullptr && bundle->AppliesTo(route->role_);
  if (has_model && !AcceptsModel(*bundle, body)) {
    return Rejection{kNotFound, core::EventNumber::kBadRequest,
                     "field 'model' names no model or adapter of the active "
                     "bundle; use " +
                         bundle->model_};
  }
  AdmittedRequest request;
  request.id_ = id;
  request.account_ = account->id_;
  request.weight_ = account->weight_;
  request.role_ = route->role_;
  request.repeatable_ = route->repeatable_;
  request.max_attempts_ = max_attempts_;
  request.retry_after_ = retry_after_;
  request.prefix_ = PromptPrefix(body);
  request.deadline_ = ParseDeadline(http, now);
  const auto key = FindHeader(http.headers_, "idempotency-key");
  if (!key.empty() && !request.repeatable_) {
    request.ticket_ = routing::ParseTicket(key);
    if (!request.ticket_) {
      ThrowMalformed("header 'idempotency-key' must be a ticket from POST " +
                     std::string(kTicketPath) +
                     "PATH or from an earlier response");
    }
  }
  return request;
}

}  // namespace chalkwell::daemon
