// Settings files: all errors reported at once, with section, key, line and
// range; and the documentation pages that are generated from the tables.
#include "daemon/settings.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "chalkwell/core/error.hpp"
#include "cli/inspect_commands.hpp"

namespace chalkwell::daemon {
namespace {

const std::string kTrustedKey(64, 'a');
const std::string kValidSettings =
    "[instance]\nid = a\ndomain = d\n[listen]\nadmin = 127.0.0.1:1\n"
    "peer = 127.0.0.1:2\ncaller = 127.0.0.1:3\n[platform]\n"
    "address = 127.0.0.1:4\n[bundle]\ntrusted_keys = " +
    kTrustedKey + "\n";

TEST_CASE("valid settings are read and defaults filled in", "[daemon]") {
  const auto settings =
      Settings::Parse(kValidSettings + "trusted_keys = " + kTrustedKey + "\n",
                      "f", UsedBy::kEntry);
  CHECK(settings.Text("instance", "id") == "a");
  CHECK(settings.Number("requests", "max_in_flight") == 256);
  CHECK(settings.List("bundle", "trusted_keys").size() == 2);
}

TEST_CASE("an error names section, key, line and range", "[daemon]") {
  using Row = std::tuple<std::string, std::string>;
  const auto [text, expected] = GENERATE_COPY(
      Row{"[platfrom]\naddress = 127.0.0.1:1\n",
          "did you mean platform.address?"},
      Row{"[log]\nformat = xml\n", "must be one of text|json"},
      Row{"[requests]\nmax_attempts = 0\n", "a whole number from 1 to 20"},
      Row{"[requests]\nmax_attempts = 2.5\n", "a whole number from 1 to 20"},
      Row{"[requests]\nretry_share = 700\n", "a number from 0 to 100"},
      Row{"[weights]\nin_flight = 1\n", "is not used by this subcommand"},
      Row{"[log]\nlevel = info\nlevel = info\n", "is given twice"},
      Row{"nonsense\n", "is neither [section] nor key = value"},
      Row{"[trace]\ncollector = localhost:4318\n", "an IP number and port"},
      Row{"[log]\nlevel = " + std::string(300, 'x') + "\n", "is too long"});
  CHECK_THROWS_WITH(
      Settings::Parse(kValidSettings + text, "f.ini", UsedBy::kEntry),
      Catch::Contains(expected) && Catch::Contains("f.ini:1"));
}

TEST_CASE("settings of a deployment with a platform adapter", "[daemon]") {
  const std::string valid_settings =
      "[instance]\nid = a\ndomain = d\n[listen]\nadmin = 127.0.0.1:1\n"
      "peer = 127.0.0.1:2\ncaller = 127.0.0.1:3\nready = 127.0.0.1:5\n"
      "[platform]\naddress = 127.0.0.1:4\n";
  const auto parse = [&](const std::string& text) {
    return Settings::Parse(valid_settings + text, "f", UsedBy::kDirectEntry);
  };
  CHECK(parse("[mesh]\nseeds = 10.0.0.1:1,10.0.0.2:1\n")
            .List("mesh", "seeds")
            .size() == 2);
  CHECK(parse("[mesh]\nseeds =\n").List("mesh", "seeds").empty());
  CHECK_THROWS_WITH(parse("[mesh]\nseeds = host:1\n"),
                    Catch::Contains("IP numbers and ports"));
  CHECK_THROWS_WITH(parse("[bundle]\ntrusted_keys = " + kTrustedKey + "\n"),
                    Catch::Contains("is not used by this subcommand"));
  CHECK_THROWS_WITH(
      Settings::Parse("[log]\nformat = text\n", "f", UsedBy::kDirectAgent),
      Catch::Contains("[endpoint] backend is missing"));
}

TEST_CASE("regions of failure domains are read as pairs", "[daemon]") {
  struct Row {
    std::string text_;
    std::size_t domains_;
    bool valid_;
  };
  const auto row = GENERATE(Row{"", 0, true}, Row{"a:north", 1, true},
                            Row{"a:north, b:north,c:south", 3, true},
                            Row{"a:north\nregion = b:south", 2, true},
                            Row{"a", 0, false}, Row{"a:", 0, false},
                            Row{":north", 0, false}, Row{"a:b:c", 0, false});
  const std::string text =
      "[instance]\nid = a\ndomain = b\n[listen]\npeer = 127.0.0.1:2\n"
      "admin = 127.0.0.1:3\ncaller = 127.0.0.1:4\nready = 127.0.0.1:5\n"
      "[platform]\naddress = 127.0.0.1:1\n[routing]\nregion = " +
      row.text_ + "\n";
  CAPTURE(row.text_);
  if (!row.valid_) {
    CHECK_THROWS_WITH(
        Settings::Parse(text, "f", UsedBy::kDirectEntry),
        Catch::Contains("[routing] region") && Catch::Contains("NAME:NAME"));
    return;
  }
  const auto settings = Settings::Parse(text, "f", UsedBy::kDirectEntry);
  CHECK(settings.Pairs("routing", "region").size() == row.domains_);
}

TEST_CASE("settings that the platform computes accept fractions", "[daemon]") {
  // All numeric settings that the platform fills into the templates.
  struct Row {
    std::string section_;
    std::string key_;
    std::string value_;
    double expected_;
  };
  const auto row =
      GENERATE(Row{"requests", "retry_reserve", "34.421052631578945",
                   34.421052631578945},
               Row{"requests", "retry_reserve", "0", 0},
               Row{"requests", "retry_reserve", "1e9", 1e9},
               Row{"requests", "retry_share", "0.33333333", 0.33333333},
               Row{"requests", "retry_share", "0", 0},
               Row{"requests", "retry_share", "100", 100},
               Row{"rollout", "version_bound_ms", "7999.25", 7999.25},
               Row{"rollout", "version_bound_ms", "0", 0},
               Row{"rollout", "version_bound_ms", "86400000", 86400000},
               Row{"stop", "drain_ms", "7500.5", 7500.5});
  const auto settings = Settings::Parse(
      "[instance]\nid = a\ndomain = d\n[listen]\n"
      "admin = 127.0.0.1:1\npeer = 127.0.0.1:2\n"
      "caller = 127.0.0.1:3\nready = 127.0.0.1:5\n"
      "[platform]\naddress = 127.0.0.1:4\n[" +
          row.section_ + "]\n" + row.key_ + " = " + row.value_ + "\n",
      "f", UsedBy::kDirectEntry);
  CHECK(settings.Real(row.section_, row.key_) == Approx(row.expected_));
  if (row.key_.ends_with("_ms")) {
    const std::chrono::duration<double, std::milli> duration =
        settings.Milliseconds(row.section_, row.key_);
    CHECK(duration.count() == Approx(row.expected_));
  }
}

TEST_CASE("a link rate may have a fraction or be 0", "[daemon]") {
  const auto value = GENERATE("0", "7.3", "1000000");
  const auto settings = Settings::Parse(
      std::string("[instance]\nid = a\ndomain = d\n[listen]\n"
                  "admin = 127.0.0.1:1\npeer = 127.0.0.1:2\n[platform]\n"
                  "address = 127.0.0.1:4\n[endpoint]\n"
                  "backend = 127.0.0.1:6\nrole = pool\n"
                  "[weights]\nlink_mbps = ") +
          value + "\n",
      "f", UsedBy::kDirectAgent);
  CHECK(settings.Real("weights", "link_mbps") == Approx(std::stod(value)));
}

TEST_CASE("all errors are reported at once", "[daemon]") {
  CHECK_THROWS_WITH(Settings::Parse("[log]\nformat = x\n", "f", UsedBy::kAgent),
                    Catch::Contains("[instance] id is missing") &&
                        Catch::Contains("must be one of text|json"));
  CHECK_THROWS_WITH(Settings::Load("/", UsedBy::kEntry),
                    Catch::Contains("is not a regular file"));
}

/// Returns what a function prints to standard output.
std::string CaptureOutput(void (*print)()) {
  std::ostringstream out;
  auto* original_buffer = std::cout.rdbuf(out.rdbuf());
  print();
  std::cout.rdbuf(original_buffer);
  return out.str();
}

std::string ReadPage(const std::string& name) {
  std::ifstream file(std::string(CHALKWELL_DOCS) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("the generated documentation pages agree with the code", "[daemon]") {
  CHECK(ReadPage("SETTINGS.md") == CaptureOutput(cli::PrintSettingsPage));
  CHECK(ReadPage("EVENTS.md") == CaptureOutput(cli::PrintEventsPage));
}

}  // namespace
}  // namespace chalkwell::daemon
