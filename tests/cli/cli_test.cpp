// The command line program of operators: exit codes and output.
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

class CliRunner {
 public:
  /// Runs the program with the given arguments; output() returns what it
  /// printed.
  /// @return the exit code, -1 if it did not end within 20 s.
  int Run(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), CliPath());
    const auto log = Path("log");
    std::filesystem::remove(log);
    const auto code = Child(arguments, log).Wait(20s);
    output_ = Read("log");
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
  [[nodiscard]] const std::string& output() const noexcept { return output_; }

  int CreateBundle(const std::string& out) {
    return Run({"bundle", "create", "--version", "1", "--model", "m",
                "--model-file", Path("model"), "--adapter",
                "a=" + Path("adapter"), "--role", "chat", "--chunk-bytes",
                "1024", "--out", Path(out)});
  }

 private:
  TemporaryFolder scratch_;
  std::string output_;
};

TEST_CASE("a bundle is created, signed, verified and checked", "[cli]") {
  CliRunner cli;
  WriteRandomFile(cli.Path("model"), 1, 5000);
  WriteRandomFile(cli.Path("adapter"), 2, 100);
  REQUIRE(cli.Run({"keygen", cli.Path("key")}) == 0);
  struct stat info {};
  REQUIRE(::stat(cli.Path("key").c_str(), &info) == 0);
  CHECK((info.st_mode & 0777U) == 0600U);
  CHECK(cli.output().find(cli.Read("key").substr(0, 64)) == std::string::npos);
  CHECK(cli.Run({"keygen", cli.Path("key")}) == 2);

  REQUIRE(cli.CreateBundle("left") == 0);
  REQUIRE(cli.CreateBundle("right") == 0);
  CHECK(cli.Read("left/bundle.json") == cli.Read("right/bundle.json"));
  REQUIRE(cli.Run({"bundle", "sign", "--key", cli.Path("key"), "--in",
                   cli.Path("left/bundle.json"), "--out",
                   cli.Path("signed")}) == 0);
  const std::vector<std::string> verify{"bundle",
                                        "verify",
                                        cli.Path("signed"),
                                        "--trusted",
                                        cli.Path("key.pub"),
                                        "--folder",
                                        cli.Path("left")};
  CHECK(cli.Run(verify) == 0);
  CHECK(cli.Run({"bundle", "show", cli.Path("signed")}) == 0);
  CHECK(cli.output().find("creole") == std::string::npos);
  CHECK(cli.Run({"check", "--document", cli.Path("signed"), "--key", "bundle",
                 "--trusted", cli.Read("key.pub").substr(0, 64)}) == 0);

  // With one byte of a chunk changed, the error names the file and the chunk.
  for (const auto& blob :
       std::filesystem::directory_iterator(cli.Path("left/blobs"))) {
    if (blob.file_size() == 1024) {
      std::fstream file(blob.path(), std::ios::in | std::ios::out);
      file.put('#');
      break;
    }
  }
  CHECK(cli.Run(verify) == 2);
  CHECK(cli.output().find("of model/model differs from its digest") !=
        std::string::npos);
}

TEST_CASE("invalid input exits with 2 and an error that names it", "[cli]") {
  CliRunner cli;
  std::ofstream(cli.Path("bad.ini")) << "[instance]\nid = a\n";
  std::ofstream(cli.Path("text")) << "text";
  const auto path = cli.Path("text");
  struct Row {
    std::vector<std::string> arguments_;
    std::string error_;
  };
  const std::vector<Row> rows{
      {{"bundle", "show", path}, "well-formed JSON"},
      {{"bundle", "show", cli.Path("none")}, "is not a regular file"},
      {{"bundle", "sign", "--key", path, "--in", path, "--out", path},
       "holds no secret key"},
      {{"check", "--entry", cli.Path("bad.ini")},
       "[instance] domain is missing"},
      {{"check", "--entry", "/"}, "is not a regular file"},
      {{"check", "--document", path, "--key", "routes"}, "well-formed JSON"}};
  for (const auto& row : rows) {
    CAPTURE(row.error_);
    CHECK(cli.Run(row.arguments_) == 2);
    CHECK(cli.output().find(row.error_) != std::string::npos);
  }
  CHECK(cli.Run({"status", "127.0.0.1:1"}) == 1);
  CHECK(cli.Run({"quarantine", "127.0.0.1:1"}) == 1);
  CHECK(cli.Run({"explain", "602"}) == 0);
  CHECK(cli.output().find("request-unknown") != std::string::npos);
  CHECK(cli.Run({"explain", "9"}) == 1);
}

TEST_CASE("a daemon with invalid settings exits with 2", "[cli]") {
  const TemporaryFolder scratch;
  const auto path = scratch.path() + "/bad.ini";
  std::ofstream(path) << "[log]\nformat = xml\n";
  Child daemon({DaemonPath(), "agent", "--config", path},
               scratch.path() + "/log");
  CHECK(daemon.Wait(10s) == 2);
}

}  // namespace
}  // namespace chalkwell::fleet
