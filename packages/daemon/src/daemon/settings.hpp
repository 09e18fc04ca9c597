// Settings in INI: one table holds each key with its range, default and
// reason; docs/SETTINGS.md is generated from it.
#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "daemon/fwd.hpp"

namespace chalkwell::daemon {

/// @brief Which processes use a setting: a set of bits. The direct processes
/// are those that a deployment's adapter serves.
enum class UsedBy : std::uint8_t {
  kEntry = 1,
  kAgent = 2,
  /// Entry and agent of the product's own interface.
  kBoth = 3,
  kDirectEntry = 4,
  kEntries = 5,
  kDirectAgent = 8,
  kAgents = 10,
  /// Entry and agent with an adapter.
  kDirect = 12,
  kAll = 15,
};

/// @brief Whether two sets share a process.
[[nodiscard]] constexpr bool Overlap(UsedBy left, UsedBy right) noexcept {
  return (static_cast<unsigned>(left) & static_cast<unsigned>(right)) != 0;
}
/// @brief What a value may be.
enum class SettingType : std::uint8_t {
  kText,
  kAddress,
  kNumber,
  /// Quantities and spans of time: a deployment may compute them, so they
  /// may have a fraction.
  kReal,
  kChoice,
  kKeys,
  /// Any number of addresses, separated by commas; none is allowed.
  kAddresses,
};

/// @brief One row of the table.
struct SettingDescription {
  UsedBy used_by_;
  std::string_view section_;
  std::string_view key_;
  SettingType type_;
  /// Empty: the setting must be given, unless `optional_`.
  std::string_view default_;
  bool optional_;
  /// Numbers: least and greatest.
  double least_;
  double greatest_;
  /// Choices, separated by '|'.
  std::string_view choices_;
  std::string_view unit_;
  std::string_view reason_;
};

[[nodiscard]] std::span<const SettingDescription> SettingsTable() noexcept;
/// @brief Allowed range of a setting in words.
[[nodiscard]] std::string RangeOf(const SettingDescription& setting);

/// @brief Checked values of one settings file.
class Settings {
 public:
  /// @brief Reads and checks a whole file.
  /// @throws core::Error that lists every fault, one a line, with section,
  /// key, line and allowed range.
  [[nodiscard]] static Settings Load(const std::string& path, UsedBy user);
  /// @brief Reads and checks the text of a file.
  /// @param path named in errors.
  [[nodiscard]] static Settings Parse(const std::string& text,
                                      const std::string& path, UsedBy user);

  /// @brief Reads the same file again.
  /// @throws core::Error as Load does.
  [[nodiscard]] Settings LoadAgain() const { return Load(path_, user_); }
  /// @brief Whether the file was written since it was read.
  [[nodiscard]] bool FileChanged() const;

  [[nodiscard]] const std::string& Text(const std::string& section,
                                        const std::string& key) const;
  [[nodiscard]] std::uint64_t Number(const std::string& section,
                                     const std::string& key) const;
  [[nodiscard]] double Real(const std::string& section,
                            const std::string& key) const;
  /// @brief A setting whose key ends in `_ms`.
  [[nodiscard]] core::Duration Milliseconds(const std::string& section,
                                            const std::string& key) const;
  [[nodiscard]] std::vector<std::string> List(const std::string& section,
                                              const std::string& key) const;

 private:
  /// By "section.key"; defaults are filled in.
  std::map<std::string, std::string> values_;
  std::string path_;
  UsedBy user_ = UsedBy::kBoth;
  /// When the file was last written, as of reading it.
  std::filesystem::file_time_type written_;
};

}  // namespace chalkwell::daemon
