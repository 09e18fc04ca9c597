// ManifestSearch: the order in which a manifest is requested from its sources.
#include "chalkwell/swarm/manifest_search.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace chalkwell::swarm {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);

SwarmMember Local(const std::string& id) {
  return {core::InstanceId(id), core::FailureDomainId("home")};
}

SwarmMember Remote(const std::string& id) {
  return {core::InstanceId(id), core::FailureDomainId("other")};
}

std::string Name(const std::optional<ManifestSource>& source) {
  if (!source) {
    return "no source";
  }
  return source->peer_ ? source->peer_->value() : "origin";
}

TEST_CASE("the first source that is sent a request", "[swarm]") {
  struct Row {
    std::string name_;
    std::vector<SwarmMember> holders_;
    std::optional<std::size_t> origin_rank_;
    core::Duration after_;
    std::string expected_;
  };
  const auto row = GENERATE(
      Row{"a local member", {Remote("f"), Local("n")}, 0, 0ms, "n"},
      Row{"a remote member before the origin", {Remote("f")}, 0, 0ms, "f"},
      Row{"the origin, by the first in rank", {}, 0, 0ms, "origin"},
      Row{"not by the third in rank", {}, 2, 99ms, "no source"},
      Row{"by the third in rank after its delay", {}, 2, 100ms, "origin"},
      Row{"none while the origin fails", {}, std::nullopt, 9s, "no source"});
  CAPTURE(row.name_);
  ManifestSearch search(Local("me"));
  search.Start(kStart);
  CHECK(Name(search.Next(row.holders_, row.origin_rank_,
                         kStart + row.after_)) == row.expected_);
}

TEST_CASE("while a request has no reply, the next source gets one in parallel",
          "[swarm]") {
  const std::vector<SwarmMember> holders{Remote("f"), Local("n")};
  ManifestSearch search(Local("me"));
  search.Start(kStart);
  CHECK(Name(search.Next(holders, 0, kStart)) == "n");
  CHECK(Name(search.Next(holders, 0, kStart + 249ms)) == "no source");
  CHECK(Name(search.Next(holders, 0, kStart + 250ms)) == "f");
  CHECK(Name(search.Next(holders, 0, kStart + 500ms)) == "origin");
  // All sources were sent a request; the next round starts.
  CHECK(Name(search.Next(holders, 0, kStart + 750ms)) == "n");
}

TEST_CASE("after a failed request the next source gets one at once",
          "[swarm]") {
  const std::vector<SwarmMember> holders{Local("n")};
  ManifestSearch search(Local("me"));
  search.Start(kStart);
  CHECK(Name(search.Next(holders, 0, kStart)) == "n");
  search.OnRequestFailed();
  CHECK(Name(search.Next(holders, 0, kStart + 1ms)) == "origin");
}

TEST_CASE("holders that did not reply get a request again in the next round",
          "[swarm]") {
  const std::vector<SwarmMember> holders{Local("n")};
  ManifestSearch search(Local("me"));
  search.Start(kStart);
  CHECK(Name(search.Next(holders, std::nullopt, kStart)) == "n");
  CHECK(Name(search.Next(holders, std::nullopt, kStart + 250ms)) ==
        "no source");
  CHECK(Name(search.Next(holders, std::nullopt, kStart + 500ms)) == "n");
}

}  // namespace
}  // namespace chalkwell::swarm
