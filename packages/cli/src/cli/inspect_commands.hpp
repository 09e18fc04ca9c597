// The commands check, status, quarantine and explain: validation of settings
// and documents, state of a running entry, and reference texts.
#pragma once

#include <string>

#include "daemon/settings.hpp"

namespace chalkwell::cli {

/// @brief Validates a settings file.
/// @throws core::Error with all errors of the file.
void CheckSettings(const std::string& path, daemon::UsedBy user);
/// @brief Validates a document as the daemons do when they receive it.
/// @param key key of the document, such as "instances".
/// @param trusted_key public key in hexadecimal that verifies signed documents;
/// may be empty for other documents.
/// @throws core::Error with the reason if the document would be refused.
void CheckDocument(const std::string& key, const std::string& path,
                   const std::string& trusted_key);
/// @brief Queries /status of an entry's admin server and prints it.
/// @param address address of the admin server, as ip:port.
/// @return an exit code: 0 ready, 3 not ready.
/// @throws core::Error if the entry is unreachable.
[[nodiscard]] int ShowStatus(const std::string& address, bool as_json);
/// @brief Prints the requests to which an entry attributes crashes of
/// endpoints, suspected and quarantined ones.
/// @return an exit code.
/// @throws core::Error if the entry is unreachable.
[[nodiscard]] int ShowQuarantine(const std::string& address);
/// @brief Lifts the quarantine of a request at all entries.
/// @param content content digest of the request, as ShowQuarantine prints it.
/// @return an exit code.
/// @throws core::Error if the entry is unreachable or quarantines no such
/// request.
[[nodiscard]] int LiftQuarantine(const std::string& address,
                                 const std::string& content);
/// @brief Prints the meaning of an event number, or of all events for 0.
/// @return an exit code: 0, or 1 for an unknown number.
[[nodiscard]] int Explain(int number);
/// @brief Prints the settings reference as Markdown.
void PrintSettingsPage();
/// @brief Prints the event catalogue as Markdown.
void PrintEventsPage();

}  // namespace chalkwell::cli
