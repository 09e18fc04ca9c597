// Prompt parts that nearly all requests to a service hold.
#include "chalkwell/routing/prompt_part_shares.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart = core::TimePoint{} + 1h;

RequestIdentity Request(const std::vector<std::string>& parts) {
  return RequestIdentity::Of(
      {core::ClientAccountId("a"), "POST", "h", "/x", "body"}, parts);
}

TEST_CASE("a part is widespread if nearly all recent requests hold it",
          "[routing]") {
  struct Row {
    std::string name_;
    int requests_with_part_;
    int requests_without_part_;
    /// Age of the requests when the share is asked for.
    core::Duration age_;
    bool widespread_;
  };
  const auto row =
      GENERATE(Row{"no requests", 0, 0, 0s, false}, Row{"all", 20, 0, 0s, true},
               Row{"all of too few", 19, 0, 0s, false},
               Row{"nine of ten", 18, 2, 0s, true},
               Row{"fewer than nine of ten", 17, 3, 0s, false},
               Row{"all, until two windows have passed", 20, 0, 19s, true},
               Row{"all, two windows ago", 20, 0, 20s, false});
  CAPTURE(row.name_);
  PromptPartShares shares;
  for (int i = 0; i < row.requests_with_part_; ++i) {
    shares.OnAdmitted("pool", Request({"all", std::to_string(i)}), kStart);
  }
  for (int i = 0; i < row.requests_without_part_; ++i) {
    shares.OnAdmitted("pool", Request({"other"}), kStart);
  }
  const auto now = kStart + row.age_;
  const auto part = RequestDigest::OfPromptPart("all");
  CHECK(shares.IsWidespread("pool", part, now) == row.widespread_);
  CHECK_FALSE(shares.IsWidespread("other pool", part, now));
  CHECK_FALSE(
      shares.IsWidespread("pool", RequestDigest::OfPromptPart("0"), now));
}

TEST_CASE("requests of the previous window count until the current one ends",
          "[routing]") {
  PromptPartShares shares;
  const auto part = RequestDigest::OfPromptPart("all");
  for (int i = 0; i < 30; ++i) {
    shares.OnAdmitted("pool", Request({"all"}), kStart);
  }
  shares.OnAdmitted("pool", Request({"other"}), kStart + 11s);
  CHECK(shares.IsWidespread("pool", part, kStart + 11s));
  shares.OnAdmitted("pool", Request({"other"}), kStart + 22s);
  CHECK_FALSE(shares.IsWidespread("pool", part, kStart + 22s));
}

TEST_CASE("the number of parts counted is limited", "[routing]") {
  PromptPartShares shares({.max_parts_ = 2});
  for (int i = 0; i < 30; ++i) {
    shares.OnAdmitted("pool", Request({"a", "b", "c"}), kStart);
  }
  CHECK(shares.IsWidespread("pool", RequestDigest::OfPromptPart("b"), kStart));
  CHECK_FALSE(
      shares.IsWidespread("pool", RequestDigest::OfPromptPart("c"), kStart));
}

}  // namespace
}  // namespace chalkwell::routing
