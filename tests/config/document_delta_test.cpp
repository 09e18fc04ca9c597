// Deltas of arbitrary texts and of typical changes to documents.
#include "chalkwell/config/document_delta.hpp"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <iostream>
#include <limits>

namespace chalkwell::config {
namespace {

constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();

std::string Rows(std::size_t from, std::size_t to) {
  std::string text = "{\"rows\":[";
  for (auto row = from; row < to; ++row) {
    text += "{\"name\":\"route-" + std::to_string(row) +
            "\",\"kind\":\"streaming\",\"timeout\":4000,\"priority\":1},";
  }
  return text + "]}";
}

std::size_t NewBytes(const std::vector<DeltaPart>& delta) {
  std::size_t bytes = 0;
  for (const auto& part : delta) {
    bytes += part.text_.size();
  }
  return bytes;
}

TEST_CASE("applying a delta yields its target", "[config]") {
  rc::prop("for any two texts", [](const std::string& base,
                                   const std::string& target) {
    RC_ASSERT(ApplyDelta(base, MakeDelta(base, target), kNoLimit) == target);
  });
  rc::prop("for sequences of repeated rows", [] {
    const auto text = [] {
      const auto rows =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
      std::string rows_text;
      for (const auto row : rows) {
        rows_text +=
            "{" + std::string(static_cast<std::size_t>(row), 'x') + "}";
      }
      return rows_text;
    };
    const auto base = text();
    const auto target = text();
    RC_ASSERT(ApplyDelta(base, MakeDelta(base, target), kNoLimit) == target);
  });
}

TEST_CASE("a delta contains little more than the new text", "[config]") {
  struct Row {
    std::string name_;
    std::string base_;
    std::string target_;
    std::size_t max_new_bytes_;
  };
  const auto row = GENERATE(
      Row{"nothing changes", Rows(0, 1000), Rows(0, 1000), 0},
      Row{"rows added at the end", Rows(0, 1000), Rows(0, 1100), 8'000},
      Row{"rows added at the front", Rows(100, 1000), Rows(0, 1000), 8'000},
      Row{"rows removed", Rows(0, 1000), Rows(0, 900), 100},
      Row{"text without rows", std::string(9000, 'a'),
          std::string(9000, 'a') + "b", 1100});
  CAPTURE(row.name_);
  const auto delta = MakeDelta(row.base_, row.target_);
  CHECK(ApplyDelta(row.base_, delta, kNoLimit) == row.target_);
  CHECK(NewBytes(delta) <= row.max_new_bytes_);
  CHECK(delta.size() < 10);
}

TEST_CASE("a delta that is out of range or too long is refused", "[config]") {
  const auto delta = GENERATE(
      std::vector<DeltaPart>{{0, 5, ""}}, std::vector<DeltaPart>{{5, 0, ""}},
      std::vector<DeltaPart>{{2, kNoLimit, ""}},
      std::vector<DeltaPart>{{kNoLimit, 2, ""}},
      std::vector<DeltaPart>{{0, 4, "12345"}},
      std::vector<DeltaPart>{{0, 4, ""}, {0, 4, ""}, {0, 1, ""}});
  CHECK_FALSE(ApplyDelta("base", delta, 8));
  CHECK(ApplyDelta("base", {{0, 4, "1234"}}, 8) == "base1234");
}

}  // namespace
}  // namespace chalkwell::config
