// Lists and changes from several eras of a store that returns from older copies
// of its data arrive in any order, and some are lost. The newest list wins, and
// a list never counts as newer than it is.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/list_history.hpp"

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart{1000s};
constexpr auto kReadInterval = 600ms;
constexpr std::uint64_t kEras = 3;
constexpr int kMaxReadsPerEra = 12;
constexpr unsigned kIds = 12;

/// The list as a reader got it from the store.
struct Read {
  core::StoreRevision revision_;
  core::TimePoint as_of_;
  std::vector<EndpointRow> rows_;
  EndpointListChange change_;
};

struct Findings {
  /// The table differs from the newest list once that was applied.
  std::size_t wrong_tables_ = 0;
  /// The table claims to include what was published before a time, but the list
  /// of that time is newer.
  std::size_t wrong_ages_ = 0;
};

EndpointRow Row(unsigned id, const core::StoreRevision& created) {
  EndpointRow row;
  row.id_ = core::InstanceId(std::to_string(id));
  row.service_ = "pool";
  row.address_ = "10.0.0.1:" + std::to_string(id);
  row.created_revision_ = created;
  return row;
}

/// All reads of a store that returns kEras - 1 times.
std::vector<Read> MakeReads(std::mt19937& random) {
  std::vector<Read> reads;
  ListHistory history;
  std::set<unsigned> listed;
  std::uint64_t number = 10;
  auto now = kStart;
  for (std::uint64_t era = 1; era <= kEras; ++era) {
    // The copy may lack more than the last era wrote, or nothing.
    number -= std::min<std::uint64_t>(number - 1, random() % 12);
    const int count = 1 + static_cast<int>(random() % kMaxReadsPerEra);
    for (int i = 0; i < count; ++i) {
      now += kReadInterval;
      if (i == 0 || random() % 3 != 0) {
        for (int change = 0; change < 3; ++change) {
          const auto id = static_cast<unsigned>(random() % kIds);
          if (listed.erase(id) == 0) {
            listed.insert(id);
          }
        }
        ++number;
      }
      Read read;
      read.revision_ = core::StoreRevision(era, number);
      read.as_of_ = now;
      for (const auto id : listed) {
        read.rows_.push_back(Row(id, core::StoreRevision(era, 1)));
      }
      read.change_ = history.OnRead(read.revision_, read.rows_, true, now);
      read.change_.as_of_ = now;
      reads.push_back(std::move(read));
    }
  }
  return reads;
}

/// @brief Revision of the store when it was queried at a time.
core::StoreRevision RevisionAt(const std::vector<Read>& reads,
                               core::TimePoint time) {
  core::StoreRevision revision;
  for (const auto& read : reads) {
    if (read.as_of_ <= time) {
      revision = read.revision_;
    }
  }
  return revision;
}

std::set<std::string> Ids(const std::vector<EndpointRow>& rows) {
  std::set<std::string> ids;
  for (const auto& row : rows) {
    ids.insert(row.id_.value());
  }
  return ids;
}

Findings Run(std::uint32_t seed, EndpointTableFaults faults) {
  std::mt19937 random(seed);
  const auto reads = MakeReads(random);
  EndpointTable table({.domain_ = core::FailureDomainId("near")}, seed, faults);
  Findings findings;
  // Full lists at the odd places, changes at the even ones. The newest list
  // arrives in any case, at any place.
  std::vector<std::size_t> arriving{2 * reads.size() - 1};
  for (std::size_t message = 0; message + 1 < 2 * reads.size(); ++message) {
    if (random() % 3 != 0) {
      arriving.push_back(message);
    }
  }
  std::ranges::shuffle(arriving, random);
  const auto now = reads.back().as_of_ + 1s;
  for (const auto message : arriving) {
    const auto& read = reads[message / 2];
    const bool full = message % 2 == 1;
    if (full) {
      table.ApplyList(read.rows_, read.revision_, true, now, read.as_of_);
    }
    if (full || table.ApplyChange(read.change_, now)) {
      table.ConfirmAsOf(read.revision_, read.as_of_);
    }
    if (RevisionAt(reads, table.as_of()) > table.store_revision()) {
      ++findings.wrong_ages_;
    }
  }
  if (Ids(table.Rows()) != Ids(reads.back().rows_) ||
      table.store_revision() != reads.back().revision_) {
    ++findings.wrong_tables_;
  }
  return findings;
}

TEST_CASE("lists of several eras, in any order, end in the newest one",
          "[routing][era]") {
  CHECK(rc::check([](std::uint32_t seed) {
    const auto findings = Run(seed, {});
    RC_ASSERT(findings.wrong_tables_ == 0);
    RC_ASSERT(findings.wrong_ages_ == 0);
  }));
}

TEST_CASE("faults in the order of eras are found", "[routing][era]") {
  EndpointTableFaults ignored;
  ignored.ignore_era_ = true;
  EndpointTableFaults older;
  older.accept_older_era_ = true;
  struct Case {
    std::string name_;
    EndpointTableFaults faults_;
    bool wrong_ages_;
  };
  const auto row = GENERATE_COPY(Case{"era ignored", ignored, true},
                                 Case{"older era accepted", older, false});
  CAPTURE(row.name_);
  Findings total;
  for (std::uint32_t seed = 0; seed < 100; ++seed) {
    const auto findings = Run(seed, row.faults_);
    total.wrong_tables_ += findings.wrong_tables_;
    total.wrong_ages_ += findings.wrong_ages_;
  }
  CHECK(total.wrong_tables_ > 0);
  CHECK((total.wrong_ages_ > 0 || !row.wrong_ages_));
}

}  // namespace
}  // namespace chalkwell::routing
