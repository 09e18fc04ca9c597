// Whom a member asks for a manifest, one after the other.
#include "chalkwell/swarm/manifest_search.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace chalkwell::swarm {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);

SwarmMember Near(const std::string& id) {
  return {core::InstanceId(id), core::FailureDomainId("home")};
}

SwarmMember Far(const std::string& id) {
  return {core::InstanceId(id), core::FailureDomainId("other")};
}

std::string Name(const std::optional<ManifestSource>& source) {
  if (!source) {
    return "nobody";
  }
  return source->peer_ ? source->peer_->value() : "origin";
}

TEST_CASE("who is asked first", "[swarm]") {
  struct Row {
    std::string name_;
    std::vector<SwarmMember> holders_;
    std::optional<std::size_t> origin_rank_;
    core::Duration after_;
    std::string asked_;
  };
  const auto row = GENERATE(
      Row{"a neighbour", {Far("f"), Near("n")}, 0, 0ms, "n"},
      Row{"one far away before the origin", {Far("f")}, 0, 0ms, "f"},
      Row{"the origin by the first in rank", {}, 0, 0ms, "origin"},
      Row{"not by the third", {}, 2, 99ms, "nobody"},
      Row{"but by the third later", {}, 2, 100ms, "origin"},
      Row{"nobody while the origin fails", {}, std::nullopt, 9s, "nobody"});
  CAPTURE(row.name_);
  ManifestSearch search(Near("me"));
  search.Start(kStart);
  CHECK(Name(search.Next(row.holders_, row.origin_rank_,
                         kStart + row.after_)) == row.asked_);
}

TEST_CASE("an ask without an answer has the next one beside it", "[swarm]") {
  const std::vector<SwarmMember> holders{Far("f"), Near("n")};
  ManifestSearch search(Near("me"));
  search.Start(kStart);
  CHECK(Name(search.Next(holders, 0, kStart)) == "n");
  CHECK(Name(search.Next(holders, 0, kStart + 249ms)) == "nobody");
  CHECK(Name(search.Next(holders, 0, kStart + 250ms)) == "f");
  CHECK(Name(search.Next(holders, 0, kStart + 500ms)) == "origin");
  // Then all over again.
  CHECK(Name(search.Next(holders, 0, kStart + 750ms)) == "n");
}

TEST_CASE("after an ask that failed the next source is asked at once",
          "[swarm]") {
  const std::vector<SwarmMember> holders{Near("n")};
  ManifestSearch search(Near("me"));
  search.Start(kStart);
  CHECK(Name(search.Next(holders, 0, kStart)) == "n");
  search.OnRequestFailed();
  CHECK(Name(search.Next(holders, 0, kStart + 1ms)) == "origin");
}

TEST_CASE("holders that did not answer are asked again after a while",
          "[swarm]") {
  const std::vector<SwarmMember> holders{Near("n")};
  ManifestSearch search(Near("me"));
  search.Start(kStart);
  CHECK(Name(search.Next(holders, std::nullopt, kStart)) == "n");
  CHECK(Name(search.Next(holders, std::nullopt, kStart + 250ms)) == "nobody");
  CHECK(Name(search.Next(holders, std::nullopt, kStart + 500ms)) == "n");
}

}  // namespace
}  // namespace chalkwell::swarm
