// Validation, queries of the admin server and printing of reference texts.
#include "cli/inspect_commands.hpp"

#include <cstdint>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "chalkwell/config/accepted_documents.hpp"
#include "chalkwell/core/error.hpp"
#include "chalkwell/core/event.hpp"
#include "cli/files.hpp"
#include "daemon/http_client.hpp"
#include "daemon/settings.hpp"

namespace chalkwell::cli {
namespace {

constexpr auto kAdminTimeout = std::chrono::seconds(5);
constexpr int kExitNotReady = 3;

std::string_view ToText(core::Severity severity) {
  switch (severity) {
    case core::Severity::kDebug:
      return "debug";
    case core::Severity::kInfo:
      return "info";
    case core::Severity::kWarning:
      return "warning";
    case core::Severity::kError:
      return "error";
  }
  return "";
}

std::string_view ToText(daemon::UsedBy user) {
  switch (user) {
    case daemon::UsedBy::kOwnInterface:
      return "both";
    case daemon::UsedBy::kEntry:
      return "entry";
    case daemon::UsedBy::kAgent:
      return "agent";
    case daemon::UsedBy::kDirectEntry:
      return "entry with an adapter";
    case daemon::UsedBy::kDirectAgent:
      return "agent with an adapter";
    case daemon::UsedBy::kDirect:
      return "both with an adapter";
    case daemon::UsedBy::kAnyEntry:
      return "entry, with an adapter or without";
    case daemon::UsedBy::kAnyAgent:
      return "agent, with an adapter or without";
    case daemon::UsedBy::kAll:
      return "all";
  }
  return "";
}

void PrintStatus(const nlohmann::json& status) {
  std::cout << "entry " << status.value("id", "") << " ("
            << status.value("domain", "") << "), "
            << (status.value("ready", false)
                    ? "ready"
                    : "not ready: " + status.value("not_ready_reason", ""))
            << "\nbundle version " << status.value("bundle_version", 0)
            << ", model " << status.value("model", "") << "\nrequests "
            << status.value("requests_in_flight", 0) << " in flight, "
            << status.value("requests_waiting", 0) << " waiting\n\n";
  std::cout << std::left << std::setw(24) << "endpoint" << std::setw(14)
            << "domain" << std::setw(12) << "role" << std::setw(10) << "state"
            << std::setw(9) << "version" << std::setw(6) << "load"
            << "weights\n";
  for (const auto& endpoint : status["endpoints"]) {
    std::string state = endpoint.value("ready", false) ? "ready" : "not ready";
    if (!endpoint.value("connected", false)) {
      state = "lost";
    } else if (endpoint.value("leaving", false)) {
      state = "leaving";
    }
    std::cout << std::setw(24) << endpoint.value("id", "") << std::setw(14)
              << endpoint.value("domain", "") << std::setw(12)
              << endpoint.value("role", "") << std::setw(10) << state
              << std::setw(9) << endpoint.value("version", 0) << std::setw(6)
              << endpoint.value("load", 0)
              << endpoint.value("weights", "").substr(0, 12) << "\n";
  }
}

/// Sends a request to the admin server of an entry and waits for the response.
/// @throws core::Error if no complete response arrives.
daemon::HttpResponse CallAdmin(const std::string& address,
                               const std::string& method,
                               const std::string& path) {
  daemon::Loop loop;
  daemon::HttpClient client(loop, kAdminTimeout);
  const daemon::HttpRequest request{
      .method_ = method, .path_ = path, .headers_ = {}, .body_ = ""};
  daemon::HttpResponse response;
  client.Fetch(daemon::ParseAddress(address), request,
               [&](daemon::HttpResponse received) {
                 response = std::move(received);
                 loop.Stop();
               });
  loop.Run();
  if (response.end_ != daemon::HttpEnd::kComplete) {
    throw core::Error(core::Step::kConnect, address,
                      "no response from the entry's admin server");
  }
  return response;
}

nlohmann::json FetchStatus(const std::string& address) {
  return nlohmann::json::parse(CallAdmin(address, "GET", "/status").body_);
}

void PrintQuarantine(const nlohmann::json& rows) {
  if (rows.empty()) {
    std::cout << "no request is suspected or quarantined\n";
  }
  for (const auto& row : rows) {
    std::cout << row.value("content", "") << " " << row.value("standing", "")
              << ", for another "
              << static_cast<std::int64_t>(row.value("left_ms", 0.0))
              << " ms\n  " << row.value("crashes", "") << "\n";
  }
}

}  // namespace

void CheckSettings(const std::string& path, daemon::UsedBy user) {
  (void)daemon::Settings::Load(path, user);
  std::cout << path << ": settings are valid\n";
}

void CheckDocument(const std::string& key, const std::string& path,
                   const std::string& trusted_key) {
  std::vector<bundle::PublicKey> trusted;
  if (const auto parsed = bundle::PublicKey::FromHex(trusted_key)) {
    trusted.push_back(*parsed);
  }
  config::AcceptedDocuments documents(trusted);
  const auto acceptance = documents.Apply({key, 1, ReadFile(path)});
  if (!config::IsAccepted(acceptance.verdict_)) {
    throw core::Error(core::Step::kVerify, path,
                      std::string(config::ToString(acceptance.verdict_)) +
                          ": " + acceptance.reason_);
  }
  std::cout << path << ": would be accepted as '" << key << "'\n";
}

int ShowStatus(const std::string& address, bool as_json) {
  const auto status = FetchStatus(address);
  if (as_json) {
    std::cout << status.dump(2) << "\n";
  } else {
    PrintStatus(status);
  }
  return status.value("ready", false) ? 0 : kExitNotReady;
}

int ShowQuarantine(const std::string& address) {
  PrintQuarantine(
      FetchStatus(address).value("quarantine", nlohmann::json::array()));
  return 0;
}

int LiftQuarantine(const std::string& address, const std::string& content) {
  const auto response =
      CallAdmin(address, "POST", "/quarantine/lift?content=" + content);
  if (!response.ok()) {
    throw core::Error(core::Step::kParse, address, response.body_);
  }
  std::cout << content << ": lifted; the entry announces this to all entries\n";
  return 0;
}

int Explain(int number) {
  bool found = false;
  for (const auto& event : core::EventCatalogue()) {
    if (number != 0 && static_cast<int>(event.number_) != number) {
      continue;
    }
    found = true;
    std::cout << "C" << static_cast<int>(event.number_) << " " << event.name_
              << " (" << ToText(event.severity_) << ")\n  " << event.meaning_
              << "\n  What to do: " << event.action_ << "\n";
  }
  if (!found) {
    std::cerr << "chalkwell: event " << number
              << " is not in the catalogue; 'chalkwell explain' lists all\n";
  }
  return found ? 0 : 1;
}

void PrintSettingsPage() {
  std::cout << "# Settings\n\nINI files, one for each process; `chalkwelld "
               "entry --config FILE --check` checks a file and reports all "
               "errors.\nThis page is printed by `chalkwell explain "
               "--settings`; a test compares it with the code.\n\n"
            << "| section | key | used by | allowed | unit | default | meaning "
               "|\n|---|---|---|---|---|---|---|\n";
  for (const auto& setting : daemon::SettingsTable()) {
    auto range = daemon::DescribeRange(setting);
    for (std::size_t at = 0; (at = range.find('|', at)) != std::string::npos;
         at += 2) {
      range.insert(at, "\\");
    }
    std::string default_text = "`" + std::string(setting.default_) + "`";
    if (setting.default_.empty()) {
      default_text = setting.optional_ ? "none" : "required";
    }
    std::cout << "| " << setting.section_ << " | " << setting.key_ << " | "
              << ToText(setting.used_by_) << " | " << range << " | "
              << setting.unit_ << " | " << default_text << " | "
              << setting.description_ << " |\n";
  }
}

void PrintEventsPage() {
  std::cout << "# Events\n\nEvery log line, problem document and alarm names a "
               "numbered event.\nThis page is printed by `chalkwell explain "
               "--events`; a test compares it with the code.\n\n"
            << "| number | name | severity | meaning | what to do "
               "|\n|---|---|---|---|---|\n";
  for (const auto& event : core::EventCatalogue()) {
    std::cout << "| " << static_cast<int>(event.number_) << " | " << event.name_
              << " | " << ToText(event.severity_) << " | " << event.meaning_
              << " | " << event.action_ << " |\n";
  }
}

}  // namespace chalkwell::cli
