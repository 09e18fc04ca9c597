// Names of the external platform's interface occur only in platform/ and its
// tests.
#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace chalkwell {
namespace {

/// Headers, paths, keys and fields that no other folder may contain.
constexpr auto kPlatformNames = std::to_array<const char*>(
    {"attempt-id",      "Attempt-Id",       "response-seal",
     "Response-Seal",   "expect-instance",  "Expect-Instance",
     "expect-version",  "Expect-Version",   "not-executed",
     "Not-Executed",    "token-counts",     "Token-Counts",
     "prompt-prefix",   "Prompt-Prefix",    "weight-versions",
     "Weight-Versions", "server-limit",     "Server-Limit",
     "length-hint",     "Length-Hint",      "at-server",
     "At-Server",       "request-priority", "Request-Priority",
     "deadline-ms",     "Deadline-Ms",      "instance-id",
     "Instance-Id",     "kv-range",         "kv-watch",
     "kv-key",          "stage-put",        "stage-get",
     "sampleSize",      "tlsKey",           "asOf",
     "morePages",       "afterRev",         "busySlots",
     "coldLeftMs",      "targetLatencyMs",  "targetGapMs",
     "trafficSplit",    "pathPrefix",       "apiKeys",
     "maxAttempts",     "maxConns",         "op/config",
     "store-era",       "Store-Era",        "op/version",
     "op/evacuate",     "allowedRegions",   "coldPerS",
     "servers/"});

/// Whether a text contains a name other than as the product's own "x-" header
/// or command-line option.
bool ContainsName(const std::string& text, const std::string& name) {
  for (auto at = text.find(name); at != std::string::npos;
       at = text.find(name, at + 1)) {
    const auto before = at >= 2 ? text.substr(at - 2, 2) : std::string();
    const bool own_name = before == "x-" || before == "--";
    if (!own_name) {
      return true;
    }
  }
  return false;
}

std::vector<std::filesystem::path> SourceFiles(const std::string& folder) {
  std::vector<std::filesystem::path> files;
  const std::filesystem::path root(CHALKWELL_SOURCES);
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(root / folder)) {
    if (entry.is_regular_file()) {
      files.push_back(entry.path());
    }
  }
  return files;
}

TEST_CASE("names of the platform occur only in its adapter", "[platform]") {
  const std::string folder =
      GENERATE("packages", "bench", "scripts", "examples");
  for (const auto& path : SourceFiles(folder)) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    const auto content = text.str();
    for (const auto* name : kPlatformNames) {
      INFO(path << " contains " << name);
      CHECK_FALSE(ContainsName(content, name));
    }
  }
}

TEST_CASE("the search finds platform names and ignores the product's own",
          "[platform]") {
  bool found = false;
  for (const auto& path : SourceFiles("platform")) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    found = found || ContainsName(text.str(), "response-seal");
  }
  CHECK(found);
  CHECK(ContainsName("name: deadline-ms", "deadline-ms"));
  CHECK_FALSE(ContainsName("name: x-deadline-ms", "deadline-ms"));
  CHECK_FALSE(ContainsName("load --deadline-ms 5", "deadline-ms"));
}

}  // namespace
}  // namespace chalkwell
