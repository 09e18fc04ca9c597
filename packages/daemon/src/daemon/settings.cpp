// Parsing and validation of settings; all errors of a file are reported at
// once.
#include "daemon/settings.hpp"

#include <ini.h>
#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "chalkwell/bundle/signature.hpp"
#include "chalkwell/core/error.hpp"
#include "daemon/address.hpp"

namespace chalkwell::daemon {
namespace {

constexpr std::size_t kMaxFileBytes = 1 << 20;

/// One "key = value" of the file.
struct Line {
  std::string section_;
  std::string key_;
  std::string value_;
  /// Number of the line, from 1.
  int number_ = 0;
};

/// State of the INI parser's callbacks.
struct ParserState {
  std::istringstream text_;
  /// Number of the line read last, from 1.
  int line_number_ = 0;
  std::vector<Line> lines_;
  /// Numbers of lines that are longer than the parser's buffer.
  std::vector<int> long_lines_;
};

/// Reads one line for the INI parser, as fgets does.
char* ReadLine(char* buffer, int size, void* stream) {
  auto* state = static_cast<ParserState*>(stream);
  std::string line;
  if (!std::getline(state->text_, line)) {
    return nullptr;
  }
  ++state->line_number_;
  const auto length = std::min(line.size(), static_cast<std::size_t>(size) - 1);
  if (length < line.size()) {
    state->long_lines_.push_back(state->line_number_);
  }
  line.copy(buffer, length);
  buffer[length] = '\0';
  return buffer;
}

int OnValue(void* user, const char* section, const char* key,
            const char* value) {
  auto* state = static_cast<ParserState*>(user);
  state->lines_.push_back({section, key, value, state->line_number_});
  return 1;
}

/// Levenshtein distance.
std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  for (std::size_t j = 0; j <= right.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const auto replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

std::string NameOf(const SettingDescription& setting) {
  return std::string(setting.section_) + "." + std::string(setting.key_);
}

bool Applies(const SettingDescription& setting, UsedBy user) {
  return Overlaps(setting.used_by_, user);
}

/// The known setting whose name is most similar.
std::string NearestName(const std::string& name) {
  const auto nearest = std::ranges::min_element(
      SettingsTable(), {}, [&](const SettingDescription& setting) {
        return EditDistance(name, NameOf(setting));
      });
  return NameOf(*nearest);
}

std::optional<double> ParseNumber(const std::string& text) {
  double number = 0;
  const auto* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || parsed != end) {
    return std::nullopt;
  }
  return number;
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    const auto begin = part.find_first_not_of(" \t");
    const auto end = part.find_last_not_of(" \t");
    if (begin != std::string::npos) {
      parts.push_back(part.substr(begin, end - begin + 1));
    }
  }
  return parts;
}

bool IsAddress(const std::string& value) {
  try {
    (void)ParseAddress(value);
    return true;
  } catch (const core::Error&) {
    return false;
  }
}

bool IsKeyList(const std::string& value) {
  const auto keys = Split(value, ',');
  return !keys.empty() && std::ranges::all_of(keys, [](const auto& key) {
    return bundle::PublicKey::FromHex(key).has_value();
  });
}

bool IsAddressList(const std::string& value) {
  return std::ranges::all_of(Split(value, ','), IsAddress);
}

/// Whether a text has the form "NAME:NAME".
bool IsPair(const std::string& text) {
  const auto colon = text.find(':');
  return colon != std::string::npos && colon > 0 && colon + 1 < text.size() &&
         text.find(':', colon + 1) == std::string::npos;
}

bool IsPairList(const std::string& value) {
  return std::ranges::all_of(Split(value, ','), IsPair);
}

bool IsValid(const SettingDescription& setting, const std::string& value) {
  switch (setting.type_) {
    case SettingType::kText:
      return !value.empty() && value.size() < 128;
    case SettingType::kAddress:
      return IsAddress(value);
    case SettingType::kNumber:
    case SettingType::kReal: {
      const auto number = ParseNumber(value);
      const bool is_allowed_format =
          setting.type_ == SettingType::kReal ||
          value.find_first_not_of("0123456789") == std::string::npos;
      return number && is_allowed_format && *number >= setting.minimum_ &&
             *number <= setting.maximum_;
    }
    case SettingType::kChoice: {
      const auto choices = Split(std::string(setting.choices_), '|');
      return std::ranges::find(choices, value) != choices.end();
    }
    case SettingType::kKeys:
      return IsKeyList(value);
    case SettingType::kAddresses:
      return IsAddressList(value);
    case SettingType::kPairs:
      return IsPairList(value);
  }
  return false;
}

const SettingDescription* FindSetting(const std::string& name) {
  const auto found = std::ranges::find_if(
      SettingsTable(),
      [&](const auto& setting) { return NameOf(setting) == name; });
  return found == SettingsTable().end() ? nullptr : &*found;
}

/// Location of a line for error messages.
std::string Location(const std::string& path, const Line& line) {
  return path + ":" + std::to_string(line.number_) + ": [" + line.section_ +
         "] " + line.key_;
}

/// Validates a line and stores its value.
/// @return an error message, or nothing.
std::string CheckLine(const std::string& path, const Line& line, UsedBy user,
                      std::map<std::string, std::string>& values) {
  const std::string name = line.section_ + "." + line.key_;
  const auto* setting = FindSetting(name);
  if (setting == nullptr) {
    return Location(path, line) + " is unknown; did you mean " +
           NearestName(name) + "?";
  }
  if (!Applies(*setting, user)) {
    return Location(path, line) + " is not used by this subcommand; remove it";
  }
  const bool repeatable = setting->type_ == SettingType::kKeys ||
                          setting->type_ == SettingType::kPairs;
  if (repeatable && values.contains(name) && IsValid(*setting, line.value_)) {
    values[name] += "," + line.value_;
    return "";
  }
  if (values.contains(name)) {
    return Location(path, line) + " is given twice; remove one";
  }
  values[name] = line.value_;
  if (!IsValid(*setting, line.value_)) {
    return Location(path, line) + " = '" + line.value_ + "' must be " +
           DescribeRange(*setting);
  }
  return "";
}

/// Adds the defaults of settings that are not given.
/// @return an error message for each required setting that is missing.
std::vector<std::string> FillDefaults(
    const std::string& path, UsedBy user,
    std::map<std::string, std::string>& values) {
  std::vector<std::string> errors;
  for (const auto& setting : SettingsTable()) {
    const auto name = NameOf(setting);
    if (!Applies(setting, user) || values.contains(name)) {
      continue;
    }
    if (setting.default_.empty() && !setting.optional_) {
      errors.push_back(path + ": [" + std::string(setting.section_) + "] " +
                       std::string(setting.key_) + " is missing; give " +
                       DescribeRange(setting));
    }
    values[name] = std::string(setting.default_);
  }
  return errors;
}

std::string ReadFile(const std::string& path) {
  std::error_code error;
  if (!std::filesystem::is_regular_file(path, error)) {
    throw core::Error(core::Step::kSettings, path,
                      "is not a regular file; name an INI file");
  }
  if (std::filesystem::file_size(path) > kMaxFileBytes) {
    throw core::Error(core::Step::kSettings, path, "is larger than 1 MiB");
  }
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    throw core::Error(core::Step::kSettings, path, "cannot be read");
  }
  return text.str();
}

}  // namespace

std::string DescribeRange(const SettingDescription& setting) {
  const auto number = [](double value) {
    std::ostringstream text;
    text.precision(15);
    text << value;
    return text.str();
  };
  switch (setting.type_) {
    case SettingType::kText:
      return "a name of 1 to 127 characters";
    case SettingType::kAddress:
      return "an IP number and port, such as 127.0.0.1:8080";
    case SettingType::kNumber:
      return "a whole number from " + number(setting.minimum_) + " to " +
             number(setting.maximum_);
    case SettingType::kReal:
      return "a number from " + number(setting.minimum_) + " to " +
             number(setting.maximum_);
    case SettingType::kChoice:
      return "one of " + std::string(setting.choices_);
    case SettingType::kKeys:
      return "public keys of 64 hexadecimal digits, separated by commas";
    case SettingType::kAddresses:
      return "IP numbers and ports separated by commas, or nothing";
    case SettingType::kPairs:
      return "pairs NAME:NAME separated by commas, or nothing";
  }
  return "";
}

Settings Settings::Load(const std::string& path, UsedBy user) {
  std::error_code error;
  const auto modified_at = std::filesystem::last_write_time(path, error);
  auto settings = Parse(ReadFile(path), path, user);
  settings.path_ = path;
  settings.user_ = user;
  settings.modified_at_ = modified_at;
  return settings;
}

bool Settings::FileChanged() const {
  std::error_code error;
  const auto modified_at = std::filesystem::last_write_time(path_, error);
  return !error && modified_at != modified_at_;
}

Settings Settings::Parse(const std::string& text, const std::string& path,
                         UsedBy user) {
  ParserState state;
  state.text_.str(text);
  std::vector<std::string> errors;
  const int bad_line = ini_parse_stream(ReadLine, &state, OnValue, &state);
  if (bad_line > 0) {
    errors.push_back(path + ":" + std::to_string(bad_line) +
                     ": is neither [section] nor key = value");
  }
  for (const int line : state.long_lines_) {
    errors.push_back(path + ":" + std::to_string(line) +
                     ": is too long; write one key per line");
  }
  Settings settings;
  for (const auto& line : state.lines_) {
    auto message = CheckLine(path, line, user, settings.values_);
    if (!message.empty()) {
      errors.push_back(std::move(message));
    }
  }
  for (auto& message : FillDefaults(path, user, settings.values_)) {
    errors.push_back(std::move(message));
  }
  if (!errors.empty()) {
    std::string messages;
    for (const auto& message : errors) {
      messages += "\n  " + message;
    }
    throw core::Error(core::Step::kSettings, path,
                      std::to_string(errors.size()) + " error(s):" + messages);
  }
  return settings;
}

const std::string& Settings::Text(const std::string& section,
                                  const std::string& key) const {
  return values_.at(section + "." + key);
}

std::uint64_t Settings::Number(const std::string& section,
                               const std::string& key) const {
  return std::stoull(Text(section, key));
}

double Settings::Real(const std::string& section,
                      const std::string& key) const {
  return *ParseNumber(Text(section, key));
}

core::Duration Settings::Milliseconds(const std::string& section,
                                      const std::string& key) const {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, std::milli>(Real(section, key)));
}

std::vector<std::string> Settings::List(const std::string& section,
                                        const std::string& key) const {
  return Split(Text(section, key), ',');
}

std::map<std::string, std::string> Settings::Pairs(
    const std::string& section, const std::string& key) const {
  std::map<std::string, std::string> pairs;
  for (const auto& pair : List(section, key)) {
    const auto colon = pair.find(':');
    pairs[pair.substr(0, colon)] = pair.substr(colon + 1);
  }
  return pairs;
}

std::size_t CallerConnectionsOf(const Settings& settings) {
  auto descriptors =
      static_cast<std::size_t>(settings.Number("process", "max_descriptors"));
  if (descriptors == 0) {
    rlimit limit{};
    (void)::getrlimit(RLIMIT_NOFILE, &limit);
    descriptors = limit.rlim_cur;
  }
  const auto connections = static_cast<double>(descriptors) *
                           settings.Real("requests", "connection_share");
  return std::max<std::size_t>(1, static_cast<std::size_t>(connections));
}

}  // namespace chalkwell::daemon
