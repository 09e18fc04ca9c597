// Settings from an INI file. One table describes each key with its range,
// default and meaning; docs/SETTINGS.md is generated from it.
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

/// @brief Set of processes that use a setting, as bits. Direct processes are
/// those that use a deployment's platform through an adapter; the others use
/// the product's own interface.
enum class UsedBy : std::uint8_t {
  kEntry = 1,
  kAgent = 2,
  /// Entry and agent with the product's own interface.
  kOwnInterface = 3,
  kDirectEntry = 4,
  /// Entry with an adapter or without.
  kAnyEntry = 5,
  kDirectAgent = 8,
  /// Agent with an adapter or without.
  kAnyAgent = 10,
  /// Entry and agent with an adapter.
  kDirect = 12,
  kAll = 15,
};

/// @brief Whether two sets have a process in common.
[[nodiscard]] constexpr bool Overlaps(UsedBy left, UsedBy right) noexcept {
  return (static_cast<unsigned>(left) & static_cast<unsigned>(right)) != 0;
}

/// @brief Type of a setting's value.
enum class SettingType : std::uint8_t {
  /// 1 to 127 characters.
  kText,
  /// IP address and port.
  kAddress,
  /// A whole number.
  kNumber,
  /// A number that may have a fraction: a deployment may compute quantities and
  /// durations.
  kReal,
  /// One of a list of words.
  kChoice,
  /// Public keys in hexadecimal, separated by commas. The setting may be
  /// repeated in the file; the lists are joined.
  kKeys,
  /// Addresses separated by commas; may be empty.
  kAddresses,
  /// Pairs "NAME:NAME" separated by commas; may be empty. The setting may be
  /// repeated in the file; the lists are joined.
  kPairs,
};

/// @brief Description of one setting.
struct SettingDescription {
  UsedBy used_by_;
  std::string_view section_;
  std::string_view key_;
  SettingType type_;
  /// If empty, the setting is required unless it is `optional_`.
  std::string_view default_;
  bool optional_;
  /// Inclusive range of kNumber and kReal.
  double minimum_;
  double maximum_;
  /// Words of a kChoice, separated by '|'.
  std::string_view choices_;
  std::string_view unit_;
  std::string_view description_;
};

/// @brief Descriptions of all settings of all processes.
[[nodiscard]] std::span<const SettingDescription> SettingsTable() noexcept;
/// @brief Describes the values that a setting allows, for error messages.
[[nodiscard]] std::string DescribeRange(const SettingDescription& setting);

/// @brief Values of one settings file, validated and completed by defaults.
///
/// The accessors throw std::out_of_range for a setting that the process does
/// not use.
class Settings {
 public:
  /// @brief Reads and validates a file.
  /// @param user the process; settings of other processes are errors.
  /// @throws core::Error if the file cannot be read or is larger than 1 MiB, or
  /// with a list of all errors in it, one per line, each with file, line,
  /// section, key and allowed values.
  [[nodiscard]] static Settings Load(const std::string& path, UsedBy user);
  /// @brief Validates the text of a file.
  /// @param path name of the file in error messages.
  /// @throws core::Error as Load() does.
  [[nodiscard]] static Settings Parse(const std::string& text,
                                      const std::string& path, UsedBy user);

  /// @brief Reads the same file again.
  /// @throws core::Error as Load() does.
  [[nodiscard]] Settings Reload() const { return Load(path_, user_); }
  /// @brief Whether the file's modification time has changed since it was read.
  [[nodiscard]] bool FileChanged() const;

  /// @brief Value as text; empty for an optional setting that is not given.
  [[nodiscard]] const std::string& Text(const std::string& section,
                                        const std::string& key) const;
  [[nodiscard]] std::uint64_t Number(const std::string& section,
                                     const std::string& key) const;
  [[nodiscard]] double Real(const std::string& section,
                            const std::string& key) const;
  /// @brief Value of a setting in milliseconds; its key ends in `_ms`.
  [[nodiscard]] core::Duration Milliseconds(const std::string& section,
                                            const std::string& key) const;
  /// @brief Values of a list, which are separated by commas.
  [[nodiscard]] std::vector<std::string> List(const std::string& section,
                                              const std::string& key) const;
  /// @brief Values of a list of pairs.
  [[nodiscard]] std::map<std::string, std::string> Pairs(
      const std::string& section, const std::string& key) const;

 private:
  /// By "section.key", including defaults.
  std::map<std::string, std::string> values_;
  std::string path_;
  UsedBy user_ = UsedBy::kOwnInterface;
  /// Modification time of the file when it was read.
  std::filesystem::file_time_type modified_at_;
};

/// @brief Connections that callers of an entry may have: a share of its
/// descriptors.
[[nodiscard]] std::size_t CallerConnectionsOf(const Settings& settings);

}  // namespace chalkwell::daemon
