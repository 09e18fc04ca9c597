// Names hold what a URL or a line gives a meaning; values are rows with one odd
// field, or no rows at all.
#include "soak/foreign_writer.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

namespace chalkwell::soak {
namespace {

using nlohmann::json;

constexpr std::size_t kMeanIntervalMs = 500;
constexpr std::size_t kMaxEntries = 20;
constexpr std::size_t kMaxNameLength = 12;
/// Bytes of names beside letters, and those that are most likely to matter.
constexpr std::string_view kMarks = "&+#% ?=/;,:\"\\\r\n\t\x7f";

json Row() {
  return {{"service", "plain"},   {"addr", "127.0.0.1:1"}, {"zone", "z1"},
          {"slots", 4},           {"state", "ready"},      {"coldLeftMs", 0},
          {"born", 1764720000000}};
}

}  // namespace

void ForeignWriter::Tick(std::chrono::steady_clock::time_point now) {
  if (now < next_) {
    return;
  }
  next_ = now + std::chrono::milliseconds(Draw(2 * kMeanIntervalMs));
  if (keys_.size() >= kMaxEntries || (!keys_.empty() && Draw(3) == 0)) {
    store_.Remove(keys_.front());
    keys_.erase(keys_.begin());
    return;
  }
  keys_.push_back(DrawKey());
  store_.PutBytes(keys_.back(), DrawValue());
  ++written_;
}

std::size_t ForeignWriter::Draw(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

std::string ForeignWriter::DrawKey() {
  static constexpr auto kPrefixes = std::to_array<std::string_view>(
      {"servers/", "servers/i-", "servers/i-127.2.2.", "op/", "op/version/"});
  std::string key(kPrefixes[Draw(kPrefixes.size())]);
  // At least one mark, so that no key is that of another writer.
  key += kMarks[Draw(kMarks.size())];
  for (auto length = Draw(kMaxNameLength); length > 0; --length) {
    key += Draw(2) == 0 ? kMarks[Draw(kMarks.size())]
                        : static_cast<char>('a' + Draw(26));
  }
  return key;
}

std::string ForeignWriter::DrawValue() {
  auto row = Row();
  switch (Draw(8)) {
    case 0:
      return std::string(100'000, '[');
    case 1:
      return "\xff\xfe{";
    case 2:
      return R"({"slots":1e999})";
    case 3:
      row["addr"] = "127.0.0.1:99999";
      break;
    case 4:
      row["slots"] = 4294967297;
      break;
    case 5:
      row["born"] = json::array();
      break;
    case 6:
      row.erase("state");
      break;
    default:
      break;
  }
  return row.dump();
}

}  // namespace chalkwell::soak
