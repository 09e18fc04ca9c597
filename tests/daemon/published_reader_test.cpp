// Watches of a store that returns from an older copy of its data.
#include "daemon/direct/published_reader.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <vector>

namespace chalkwell::daemon::direct {
namespace {

using namespace std::chrono_literals;

/// Ends a test whose wait has no result; no requirement on the reader.
constexpr auto kTestTimeout = 10s;

core::StoreRevision Revision(std::uint64_t era, std::uint64_t number) {
  return core::StoreRevision(era, number);
}

/// A call of the reader to the store.
struct Call {
  /// None for a full read.
  core::StoreRevision after_;
  SnapshotHandler done_;
  bool cancelled_ = false;
};

/// Reader of the operations section, with a store that the test plays.
class Fixture {
 public:
  Fixture() {
    store_.read_ = [this](Section section, SnapshotHandler done) {
      return Add(section, {}, std::move(done));
    };
    store_.watch_ = [this](Section section, core::StoreRevision after,
                           core::Duration, SnapshotHandler done) {
      return Add(section, after, std::move(done));
    };
    reader_.Watch(Section::kOperations);
  }

  /// @brief Waits for the next call of the reader.
  Call& NextCall() {
    const auto number = ++expected_;
    bool waiting = true;
    Timer timeout(loop_);
    timeout.Once(kTestTimeout, [&] {
      waiting = false;
      loop_.Stop();
    });
    while (waiting && calls_.size() < number) {
      loop_.Run();
    }
    REQUIRE(calls_.size() >= number);
    return calls_[number - 1];
  }

  void Respond(Call& call, ReadOutcome outcome,
               const core::StoreRevision& revision, bool truncated = false) {
    StoreSnapshot snapshot;
    snapshot.truncated_ = truncated;
    snapshot.outcome_ = outcome;
    snapshot.revision_ = revision;
    snapshot.whole_ = !truncated && !call.after_.known();
    call.done_(std::move(snapshot));
  }

  PublishedReader& reader() { return reader_; }
  /// Revisions of the responses that were handed to the entry.
  [[nodiscard]] const std::vector<core::StoreRevision>& applied() const {
    return applied_;
  }

 private:
  CancelCall Add(Section section, core::StoreRevision after,
                 SnapshotHandler done) {
    // Probes and reads of other sections are not answered.
    if (section != Section::kOperations) {
      return [] {};
    }
    calls_.push_back({after, std::move(done)});
    loop_.Stop();
    return [&call = calls_.back()] { call.cancelled_ = true; };
  }

  Loop loop_;
  EventLog log_{LogFormat::kJson, core::Severity::kError, "test"};
  Metrics metrics_;
  StoreClient store_;
  /// A deque, since elements are referred to.
  std::deque<Call> calls_;
  std::size_t expected_ = 0;
  std::vector<core::StoreRevision> applied_;
  PublishedReader reader_{loop_,
                          store_,
                          {.first_watch_delay_ = 1ms},
                          log_,
                          metrics_,
                          [this](Section, const StoreSnapshot& snapshot) {
                            applied_.push_back(snapshot.revision_);
                          }};
};

TEST_CASE("a watch misses no change at a revision that the store passes again",
          "[daemon][era]") {
  struct Row {
    std::string name_;
    ReadOutcome outcome_;
    core::StoreRevision response_;
    /// Whether the response to the watch is applied, and where the next call
    /// starts; none if it is a full read.
    bool applied_;
    core::StoreRevision next_after_;
  };
  const auto row = GENERATE(
      Row{"same era", ReadOutcome::kRead, Revision(1, 905), true,
          Revision(1, 905)},
      Row{"newer era, revision passed again",
          ReadOutcome::kRead,
          Revision(2, 905),
          false,
          {}},
      Row{"newer era, nothing new",
          ReadOutcome::kUnchanged,
          Revision(2, 900),
          false,
          {}},
      Row{"newer era, revision not reached",
          ReadOutcome::kCompacted,
          Revision(2, 0),
          false,
          {}},
      Row{"history dropped",
          ReadOutcome::kCompacted,
          Revision(1, 0),
          false,
          {}},
      Row{"response not decodable",
          ReadOutcome::kUndecodable,
          Revision(1, 0),
          false,
          {}},
      Row{"older era", ReadOutcome::kRead, Revision(0, 905), false, {}});
  CAPTURE(row.name_);
  Fixture fixture;
  fixture.Respond(fixture.NextCall(), ReadOutcome::kRead, Revision(1, 900));
  auto& watch = fixture.NextCall();
  CHECK(watch.after_ == Revision(1, 900));
  fixture.Respond(watch, row.outcome_, row.response_);
  CHECK(fixture.NextCall().after_ == row.next_after_);
  CHECK(fixture.applied().size() == (row.applied_ ? 2 : 1));
}

TEST_CASE("a watch follows a truncated read, which misses what it lacks",
          "[daemon]") {
  const auto outcome = GENERATE(ReadOutcome::kRead, ReadOutcome::kUnreachable);
  Fixture fixture;
  fixture.Respond(fixture.NextCall(), outcome, Revision(1, 900), true);
  CHECK(fixture.applied().size() == 1);
  auto& again = fixture.NextCall();
  CHECK_FALSE(again.after_.known());
  fixture.Respond(again, ReadOutcome::kRead, Revision(1, 901));
  CHECK(fixture.NextCall().after_ == Revision(1, 901));
}

TEST_CASE("a full read of an older era is not applied", "[daemon][era]") {
  Fixture fixture;
  fixture.Respond(fixture.NextCall(), ReadOutcome::kRead, Revision(2, 900));
  fixture.Respond(fixture.NextCall(), ReadOutcome::kCompacted, Revision(2, 0));
  fixture.Respond(fixture.NextCall(), ReadOutcome::kRead, Revision(1, 950));
  auto& again = fixture.NextCall();
  CHECK_FALSE(again.after_.known());
  CHECK(fixture.applied().size() == 1);
  fixture.Respond(again, ReadOutcome::kRead, Revision(2, 901));
  CHECK(fixture.NextCall().after_ == Revision(2, 901));
  CHECK(fixture.applied().back() == Revision(2, 901));
}

TEST_CASE("a watch in flight is replaced once another process knows a new era",
          "[daemon][era]") {
  struct Row {
    std::uint64_t era_;
    bool replaced_;
  };
  const auto row = GENERATE(Row{0, false}, Row{1, false}, Row{2, true});
  CAPTURE(row.era_);
  Fixture fixture;
  fixture.Respond(fixture.NextCall(), ReadOutcome::kRead, Revision(1, 900));
  auto& watch = fixture.NextCall();
  fixture.reader().OnEra(row.era_);
  CHECK(watch.cancelled_ == row.replaced_);
  if (row.replaced_) {
    auto& read = fixture.NextCall();
    CHECK_FALSE(read.after_.known());
    fixture.reader().OnEra(row.era_);
    CHECK_FALSE(read.cancelled_);
  }
}

}  // namespace
}  // namespace chalkwell::daemon::direct
