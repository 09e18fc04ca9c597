// chalkwell check, status, quarantine and explain: what runs and what a number
// means.
#pragma once

#include <string>

#include "daemon/settings.hpp"

namespace chalkwell::cli {

/// @brief Checks a settings file.
void CheckSettings(const std::string& path, daemon::UsedBy user);
/// @brief Checks a published document as the daemons would.
/// @param key of the document, such as "instances".
void CheckDocument(const std::string& key, const std::string& path,
                   const std::string& trusted_key);
/// @brief Asks an entry's admin listener.
/// @return an exit code: 0 ready, 3 not ready, 1 unreachable.
[[nodiscard]] int ShowStatus(const std::string& address, bool as_json);
/// @brief Prints which requests an entry suspects or refuses because endpoints
/// crashed under them.
/// @return an exit code.
[[nodiscard]] int ShowQuarantine(const std::string& address);
/// @brief Ends the quarantine of a request at all entries.
/// @param content its digest, as ShowQuarantine prints it.
/// @return an exit code.
[[nodiscard]] int LiftQuarantine(const std::string& address,
                                 const std::string& content);
/// @brief Prints what an event number means; all of them for 0.
/// @return an exit code.
[[nodiscard]] int Explain(int number);
/// @brief Prints the settings reference as Markdown.
void PrintSettingsPage();
/// @brief Prints the event catalogue as Markdown.
void PrintEventsPage();

}  // namespace chalkwell::cli
