// The operators' command line, run as a program: exit codes and what it says.
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "fleet/child.hpp"
#include "fleet/fleet.hpp"
#include "fleet/scratch.hpp"

namespace chalkwell::fleet {
namespace {

using namespace std::chrono_literals;

class Operator {
 public:
  /// @return the exit code; what was printed is in `said`.
  int Run(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), CliPath());
    const auto log = Path("log");
    std::filesystem::remove(log);
    const auto code = Child(arguments, log).Wait(20s);
    said_ = Read("log");
    return code.value_or(-1);
  }

  [[nodiscard]] std::string Path(const std::string& name) const {
    return scratch_.path() + "/" + name;
  }
  [[nodiscard]] std::string Read(const std::string& name) const {
    std::ifstream file(Path(name), std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }
  [[nodiscard]] const std::string& said() const noexcept { return said_; }

  int Create(const std::string& out) {
    return Run({"bundle", "create", "--version", "1", "--model", "m",
                "--model-file", Path("model"), "--adapter",
                "a=" + Path("adapter"), "--role", "chat", "--chunk-bytes",
                "1024", "--out", Path(out)});
  }

 private:
  Scratch scratch_;
  std::string said_;
};

TEST_CASE("from key to verified bundle", "[cli]") {
  Operator user;
  WriteRandomFile(user.Path("model"), 1, 5000);
  WriteRandomFile(user.Path("adapter"), 2, 100);
  REQUIRE(user.Run({"keygen", user.Path("key")}) == 0);
  struct stat info {};
  REQUIRE(::stat(user.Path("key").c_str(), &info) == 0);
  CHECK((info.st_mode & 0777U) == 0600U);
  CHECK(user.said().find(user.Read("key").substr(0, 64)) == std::string::npos);
  CHECK(user.Run({"keygen", user.Path("key")}) == 2);

  REQUIRE(user.Create("left") == 0);
  REQUIRE(user.Create("right") == 0);
  CHECK(user.Read("left/bundle.json") == user.Read("right/bundle.json"));
  REQUIRE(user.Run({"bundle", "sign", "--key", user.Path("key"), "--in",
                    user.Path("left/bundle.json"), "--out",
                    user.Path("signed")}) == 0);
  const std::vector<std::string> verify{"bundle",
                                        "verify",
                                        user.Path("signed"),
                                        "--trusted",
                                        user.Path("key.pub"),
                                        "--folder",
                                        user.Path("left")};
  CHECK(user.Run(verify) == 0);
  CHECK(user.Run({"bundle", "show", user.Path("signed")}) == 0);
  CHECK(user.said().find("creole") == std::string::npos);
  CHECK(user.Run({"check", "--document", user.Path("signed"), "--key", "bundle",
                  "--trusted", user.Read("key.pub").substr(0, 64)}) == 0);

  // One byte of one chunk: the file and the chunk are named.
  for (const auto& blob :
       std::filesystem::directory_iterator(user.Path("left/blobs"))) {
    if (blob.file_size() == 1024) {
      std::fstream file(blob.path(), std::ios::in | std::ios::out);
      file.put('#');
      break;
    }
  }
  CHECK(user.Run(verify) == 2);
  CHECK(user.said().find("of model/model differs from its digest") !=
        std::string::npos);
}

TEST_CASE("bad input names the fix and exits with 2", "[cli]") {
  Operator user;
  std::ofstream(user.Path("bad.ini")) << "[instance]\nid = a\n";
  std::ofstream(user.Path("text")) << "text";
  const auto path = user.Path("text");
  struct Row {
    std::vector<std::string> arguments_;
    std::string says_;
  };
  const std::vector<Row> rows{
      {{"bundle", "show", path}, "well-formed JSON"},
      {{"bundle", "show", user.Path("none")}, "is not a regular file"},
      {{"bundle", "sign", "--key", path, "--in", path, "--out", path},
       "holds no secret key"},
      {{"check", "--entry", user.Path("bad.ini")},
       "[instance] domain is missing"},
      {{"check", "--entry", "/"}, "is not a regular file"},
      {{"check", "--document", path, "--key", "routes"}, "well-formed JSON"}};
  for (const auto& row : rows) {
    CAPTURE(row.says_);
    CHECK(user.Run(row.arguments_) == 2);
    CHECK(user.said().find(row.says_) != std::string::npos);
  }
  CHECK(user.Run({"status", "127.0.0.1:1"}) == 1);
  CHECK(user.Run({"quarantine", "127.0.0.1:1"}) == 1);
  CHECK(user.Run({"explain", "602"}) == 0);
  CHECK(user.said().find("request-unknown") != std::string::npos);
  CHECK(user.Run({"explain", "9"}) == 1);
}

TEST_CASE("daemons check their settings before anything starts", "[cli]") {
  const Scratch scratch;
  const auto path = scratch.path() + "/bad.ini";
  std::ofstream(path) << "[log]\nformat = xml\n";
  Child daemon({DaemonPath(), "agent", "--config", path},
               scratch.path() + "/log");
  CHECK(daemon.Wait(10s) == 2);
}

}  // namespace
}  // namespace chalkwell::fleet
