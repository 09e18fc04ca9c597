// Settings: every fault at once, with section, key, line and range; and the
// pages that must agree with the code.
#include "daemon/settings.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "chalkwell/core/error.hpp"
#include "cli/inspect_commands.hpp"

namespace chalkwell::daemon {
namespace {

const std::string kKey(64, 'a');
const std::string kGood =
    "[instance]\nid = a\ndomain = d\n[listen]\nadmin = 127.0.0.1:1\n"
    "peer = 127.0.0.1:2\ncaller = 127.0.0.1:3\n[platform]\n"
    "address = 127.0.0.1:4\n[bundle]\ntrusted_keys = " +
    kKey + "\n";

TEST_CASE("good settings are read, defaults filled in", "[daemon]") {
  const auto settings = Settings::Parse(kGood + "trusted_keys = " + kKey + "\n",
                                        "f", UsedBy::kEntry);
  CHECK(settings.Text("instance", "id") == "a");
  CHECK(settings.Number("requests", "max_in_flight") == 256);
  CHECK(settings.List("bundle", "trusted_keys").size() == 2);
}

TEST_CASE("a fault names section, key, line and range", "[daemon]") {
  using Row = std::tuple<std::string, std::string>;
  const auto [text, expected] = GENERATE_COPY(
      Row{"[platfrom]\naddress = 127.0.0.1:1\n",
          "did you mean platform.address?"},
      Row{"[log]\nformat = xml\n", "must be one of text|json"},
      Row{"[requests]\nmax_attempts = 0\n", "a whole number from 1 to 20"},
      Row{"[requests]\nmax_attempts = 2.5\n", "a whole number from 1 to 20"},
      Row{"[requests]\nretry_share = 7\n", "a number from 0 to 1"},
      Row{"[weights]\nin_flight = 1\n", "is not used by this subcommand"},
      Row{"[log]\nlevel = info\nlevel = info\n", "is given twice"},
      Row{"nonsense\n", "is neither [section] nor key = value"},
      Row{"[trace]\ncollector = localhost:4318\n", "an IP number and port"},
      Row{"[log]\nlevel = " + std::string(300, 'x') + "\n", "is too long"});
  CHECK_THROWS_WITH(Settings::Parse(kGood + text, "f.ini", UsedBy::kEntry),
                    Catch::Contains(expected) && Catch::Contains("f.ini:1"));
}

TEST_CASE("settings of a deployment with an adapter", "[daemon]") {
  const std::string good =
      "[instance]\nid = a\ndomain = d\n[listen]\nadmin = 127.0.0.1:1\n"
      "peer = 127.0.0.1:2\ncaller = 127.0.0.1:3\nready = 127.0.0.1:5\n"
      "[platform]\naddress = 127.0.0.1:4\n";
  const auto parse = [&](const std::string& text) {
    return Settings::Parse(good + text, "f", UsedBy::kDirectEntry);
  };
  CHECK(parse("[mesh]\nseeds = 10.0.0.1:1,10.0.0.2:1\n")
            .List("mesh", "seeds")
            .size() == 2);
  CHECK(parse("[mesh]\nseeds =\n").List("mesh", "seeds").empty());
  CHECK_THROWS_WITH(parse("[mesh]\nseeds = host:1\n"),
                    Catch::Contains("IP numbers and ports"));
  CHECK_THROWS_WITH(parse("[bundle]\ntrusted_keys = " + kKey + "\n"),
                    Catch::Contains("is not used by this subcommand"));
  CHECK_THROWS_WITH(
      Settings::Parse("[log]\nformat = text\n", "f", UsedBy::kDirectAgent),
      Catch::Contains("[endpoint] backend is missing"));
}

TEST_CASE("all faults are told at once", "[daemon]") {
  CHECK_THROWS_WITH(Settings::Parse("[log]\nformat = x\n", "f", UsedBy::kAgent),
                    Catch::Contains("[instance] id is missing") &&
                        Catch::Contains("must be one of text|json"));
  CHECK_THROWS_WITH(Settings::Load("/", UsedBy::kEntry),
                    Catch::Contains("is not a regular file"));
}

std::string Printed(void (*print)()) {
  std::ostringstream out;
  auto* before = std::cout.rdbuf(out.rdbuf());
  print();
  std::cout.rdbuf(before);
  return out.str();
}

std::string Page(const std::string& name) {
  std::ifstream file(std::string(CHALKWELL_DOCS) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("the pages agree with the code", "[daemon]") {
  CHECK(Page("SETTINGS.md") == Printed(cli::PrintSettingsPage));
  CHECK(Page("EVENTS.md") == Printed(cli::PrintEventsPage));
}

}  // namespace
}  // namespace chalkwell::daemon
