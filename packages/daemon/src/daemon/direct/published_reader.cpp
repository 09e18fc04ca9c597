// Each watched or polled section has at most one call in flight.
#include "daemon/direct/published_reader.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace chalkwell::daemon::direct {
namespace {

/// Backoff after failed calls.
constexpr core::BackoffSettings kRetryBackoff{std::chrono::milliseconds(100),
                                              std::chrono::milliseconds(1000)};
/// Decoding errors of one response that are logged; each log line holds the
/// total.
constexpr std::size_t kMaxLoggedErrors = 8;
/// Interval between two log lines with the numbers of calls to the store.
constexpr auto kCallLogInterval = std::chrono::seconds(10);
/// Minimum interval between two log lines about responses of an older era.
constexpr auto kOlderEraLogInterval = std::chrono::seconds(1);
/// Wait of the watch that Confirm() makes: the store responds at once.
constexpr auto kConfirmWait = std::chrono::milliseconds(1);
/// Interval of checking whether a poll is due: its due time may move forward.
constexpr auto kPollCheckInterval = std::chrono::milliseconds(200);

std::string_view ToString(ReadOutcome outcome) {
  switch (outcome) {
    case ReadOutcome::kRead:
      return "read";
    case ReadOutcome::kUnchanged:
      return "nothing-new";
    case ReadOutcome::kCompacted:
      return "history-gone";
    case ReadOutcome::kUndecodable:
      return "undecodable";
    case ReadOutcome::kUnreachable:
      return "unreachable";
  }
  return "";
}

}  // namespace

PublishedReader::PublishedReader(Loop& loop, const StoreClient& store,
                                 PublishedReaderSettings settings,
                                 EventLog& log, Metrics& metrics,
                                 Handler handler)
    : loop_(loop),
      store_(store),
      settings_(settings),
      log_(log),
      metrics_(metrics),
      call_count_(log, metrics),
      handler_(std::move(handler)),
      reachable_since_(loop.Now()),
      call_log_timer_(loop) {
  call_log_timer_.Every(kCallLogInterval, [this] { call_count_.LogSummary(); });
}

PublishedReader::Task::Task(Loop& loop, Section section, bool watched,
                            core::Duration wait)
    : section_(section),
      watched_(watched),
      backoff_(kRetryBackoff, std::random_device{}()),
      watch_wait_(wait),
      timer_(loop) {}

void PublishedReader::Watch(Section section) {
  auto& task = TaskFor(section, true);
  if (!std::exchange(task.active_, true) && !task.call_pending_) {
    StartCall(task);
  }
}

void PublishedReader::SetWatchWait(Section section, core::Duration wait) {
  TaskFor(section, true).watch_wait_ = wait;
}

void PublishedReader::Unwatch(Section section) {
  auto& task = TaskFor(section, true);
  task.active_ = false;
  task.timer_.Cancel();
  CancelCallInFlight(task);
}

void PublishedReader::AdvanceTo(Section section, core::StoreRevision revision) {
  era_ = std::max(era_, revision.era_);
  const auto found = tasks_.find(section);
  if (found == tasks_.end() || found->second.revision_ >= revision) {
    return;
  }
  auto& task = found->second;
  task.revision_ = revision;
  if (task.active_ && task.call_pending_) {
    CancelCallInFlight(task);
    StartCall(task);
  }
}

void PublishedReader::CancelCallInFlight(Task& task) {
  if (std::exchange(task.call_pending_, false)) {
    task.cancel_();
  }
}

void PublishedReader::Poll(Section section,
                           std::function<core::Duration()> interval,
                           std::function<void()> on_failed,
                           core::Duration first_wait) {
  auto& task = TaskFor(section, false);
  task.interval_ = std::move(interval);
  task.on_failed_ = std::move(on_failed);
  if (first_wait <= core::Duration{}) {
    StartCall(task);
    return;
  }
  task.requested_at_ = loop_.Now();
  task.timer_.Once(first_wait, [this, &task] { PollWhenDue(task); });
}

PublishedReader::Task& PublishedReader::TaskFor(Section section, bool watched) {
  return tasks_
      .try_emplace(section, loop_, section, watched, settings_.watch_wait_)
      .first->second;
}

void PublishedReader::ReadNow(Section section,
                              std::optional<core::Duration> timeout) {
  const auto found = tasks_.find(section);
  const bool polled = found != tasks_.end() && !found->second.watched_;
  if (polled) {
    if (!found->second.call_pending_) {
      StartCall(found->second);
    }
    return;
  }
  const auto number = ++last_read_number_;
  if (!reads_in_flight_.emplace(section, number).second) {
    return;
  }
  call_count_.OnCall(section, StoreCallCause::kSingleRead);
  const auto cancel = store_.read_(
      section,
      [this, section, requested_at = loop_.Now()](StoreSnapshot snapshot) {
        reads_in_flight_.erase(section);
        CountResponse(section, snapshot);
        if (snapshot.outcome_ == ReadOutcome::kRead) {
          snapshot.as_of_ = requested_at;
          handler_(section, snapshot);
        }
      });
  if (!timeout) {
    return;
  }
  loop_.After(*timeout, [this, section, number, cancel] {
    const auto found = reads_in_flight_.find(section);
    if (found != reads_in_flight_.end() && found->second == number) {
      reads_in_flight_.erase(found);
      cancel();
    }
  });
}

void PublishedReader::Confirm(Section section) {
  auto& task = TaskFor(section, true);
  if (!task.revision_.known()) {
    if (!task.active_) {
      ReadNow(section);
    }
    return;
  }
  if (std::exchange(task.confirming_, true)) {
    return;
  }
  call_count_.OnCall(section, StoreCallCause::kConfirm);
  (void)store_.watch_(
      section, task.revision_, kConfirmWait,
      [this, &task, after = task.revision_](const StoreSnapshot& snapshot) {
        task.confirming_ = false;
        CountResponse(task.section_, snapshot);
        OnConfirmed(task, after, snapshot);
      });
}

void PublishedReader::OnConfirmed(Task& task, const core::StoreRevision& after,
                                  const StoreSnapshot& snapshot) {
  if (snapshot.outcome_ == ReadOutcome::kCompacted) {
    ReadNow(task.section_);
    return;
  }
  const bool changed = snapshot.rules_ || !snapshot.weights_.empty() ||
                       !snapshot.evacuations_.empty();
  if (snapshot.outcome_ != ReadOutcome::kRead || !changed ||
      BreaksWatch(after, snapshot)) {
    return;
  }
  handler_(task.section_, snapshot);
  // Replaces the watch that missed the change.
  AdvanceTo(task.section_, snapshot.revision_);
}

void PublishedReader::NoteEra(Section section, const StoreSnapshot& snapshot) {
  if (snapshot.outcome_ == ReadOutcome::kUnreachable) {
    return;
  }
  const auto& revision = snapshot.revision_;
  if (revision.era_ < era_) {
    const auto now = loop_.Now();
    if (now - older_era_logged_at_ >= kOlderEraLogInterval) {
      older_era_logged_at_ = now;
      log_.Write(core::EventNumber::kListNotUsed,
                 {{"section", std::string(ToString(section))},
                  {"era", std::to_string(revision.era_)},
                  {"revision", std::to_string(revision.number_)},
                  {"known_era", std::to_string(era_)},
                  {"known_revision", std::to_string(last_revision_.number_)},
                  {"source", "store"}});
    }
    return;
  }
  const auto before = last_revision_;
  const bool returned =
      before != core::StoreRevision() && before.era_ < revision.era_;
  if (revision.known() || returned) {
    last_revision_ = revision;
  }
  if (returned) {
    log_.Write(core::EventNumber::kStoreRestored,
               {{"from", std::to_string(before.era_)},
                {"to", std::to_string(revision.era_)},
                {"revision_before", std::to_string(before.number_)},
                {"revision", std::to_string(revision.number_)},
                {"section", std::string(ToString(section))}});
  }
  metrics_.Set("store_era", {}, static_cast<double>(revision.era_));
  OnEra(revision.era_);
}

void PublishedReader::OnEra(std::uint64_t era) {
  if (era <= era_) {
    return;
  }
  era_ = era;
  for (auto& [section, task] : tasks_) {
    if (!task.watched_ || !task.revision_.known() ||
        task.revision_.era_ >= era) {
      // The response to a full read in flight states its era itself.
      continue;
    }
    task.revision_ = {};
    if (task.active_ && task.call_pending_) {
      CancelCallInFlight(task);
      StartCall(task);
    }
  }
}

bool PublishedReader::BreaksWatch(const core::StoreRevision& after,
                                  const StoreSnapshot& snapshot) {
  return snapshot.outcome_ != ReadOutcome::kUnreachable && after.known() &&
         snapshot.revision_.era_ != after.era_;
}

void PublishedReader::CountResponse(Section section,
                                    const StoreSnapshot& snapshot) {
  NoteEra(section, snapshot);
  metrics_.Count("store_answers_total",
                 {{"section", std::string(ToString(section))},
                  {"end", std::string(ToString(snapshot.outcome_))}});
  if (snapshot.truncated_) {
    metrics_.Count("store_truncated_reads_total",
                   {{"section", std::string(ToString(section))}});
  }
  metrics_.Count("store_pages_total",
                 {{"section", std::string(ToString(section))}},
                 static_cast<double>(snapshot.page_count_));
  auto bytes = snapshot.encoded_rules_.size();
  for (const auto& page : snapshot.encoded_pages_) {
    bytes += page.size();
  }
  metrics_.Count("store_document_bytes_total",
                 {{"section", std::string(ToString(section))}},
                 static_cast<double>(bytes));
}

void PublishedReader::StartCall(Task& task) {
  const bool known =
      task.section_ == Section::kOperations && task.revision_.known();
  if (task.failed_ && known) {
    Probe(task);
    return;
  }
  task.call_pending_ = true;
  task.requested_at_ = loop_.Now();
  call_count_.OnCall(task.section_, CauseOf(task));
  task.cancel_ = SendCall(task, [this, &task](StoreSnapshot snapshot) {
    task.call_pending_ = false;
    snapshot.as_of_ = task.requested_at_;
    OnResponse(task, snapshot);
  });
}

StoreCallCause PublishedReader::CauseOf(const Task& task) {
  if (!task.watched_) {
    return StoreCallCause::kPoll;
  }
  return task.revision_.known() ? StoreCallCause::kWatch
                                : StoreCallCause::kRead;
}

CancelCall PublishedReader::SendCall(Task& task, SnapshotHandler done) {
  if (task.watched_ && task.revision_.known()) {
    return store_.watch_(task.section_, task.revision_, task.watch_wait_,
                         std::move(done));
  }
  return store_.read_(task.section_, std::move(done));
}

// Known operations, which include the rules, are not read again after a
// failure: entries that lost the store
// together each read 1.3 MB through one shared link, which made them lose it
// again. They are watched instead. A watch alone would not notice during its
// whole wait that the store accepts calls without a response, so a small read
// precedes it.
void PublishedReader::Probe(Task& task) {
  task.call_pending_ = true;
  call_count_.OnCall(Section::kWeights, StoreCallCause::kProbe);
  task.cancel_ = store_.read_(
      Section::kWeights, [this, &task](const StoreSnapshot& snapshot) {
        task.call_pending_ = false;
        CountResponse(Section::kWeights, snapshot);
        task.failed_ = snapshot.outcome_ == ReadOutcome::kUnreachable;
        SetReachable(!task.failed_);
        Schedule(task, !task.failed_, false);
      });
}

void PublishedReader::OnResponse(Task& task, const StoreSnapshot& snapshot) {
  const auto after = task.revision_;
  const bool first = !after.known();
  CountResponse(task.section_, snapshot);
  LogDecodeErrors(task.section_, snapshot.decode_errors_);
  const bool older_era = task.watched_ &&
                         snapshot.outcome_ != ReadOutcome::kUnreachable &&
                         snapshot.revision_.era_ < era_;
  if (older_era || (task.watched_ && BreaksWatch(after, snapshot))) {
    // Read again in full; with a delay if the response was of an older era,
    // because the next one may be, too.
    SetReachable(true);
    task.revision_ = {};
    task.failed_ = false;
    Schedule(task, !older_era, false);
    return;
  }
  switch (snapshot.outcome_) {
    case ReadOutcome::kRead:
      SetReachable(true);
      last_read_ = loop_.Now();
      if (!snapshot.truncated_) {
        task.revision_ = std::max(task.revision_, snapshot.revision_);
      }
      handler_(task.section_, snapshot);
      break;
    case ReadOutcome::kUnchanged:
      SetReachable(true);
      last_read_ = loop_.Now();
      task.revision_ = std::max(task.revision_, snapshot.revision_);
      break;
    case ReadOutcome::kCompacted:
    case ReadOutcome::kUndecodable:
      SetReachable(true);
      task.revision_ = {};
      break;
    case ReadOutcome::kUnreachable:
      SetReachable(false);
      if (snapshot.truncated_) {
        // A process that knows nothing else uses the pages before.
        handler_(task.section_, snapshot);
      }
      if (task.section_ != Section::kOperations) {
        // The other sections are small, and reading them anew shows when the
        // store is reachable again.
        task.revision_ = {};
      }
      break;
  }
  task.failed_ = snapshot.outcome_ == ReadOutcome::kUnreachable;
  if (task.failed_ && task.on_failed_) {
    task.on_failed_();
  }
  const bool succeeded = !task.failed_ && !snapshot.truncated_ &&
                         snapshot.outcome_ != ReadOutcome::kUndecodable;
  Schedule(task, succeeded, first);
}

void PublishedReader::LogDecodeErrors(Section section,
                                      const std::vector<std::string>& errors) {
  auto& known = decode_errors_[section];
  std::size_t new_errors = 0;
  for (const auto& error : errors) {
    if (!known.contains(error) && ++new_errors <= kMaxLoggedErrors) {
      log_.Write(core::EventNumber::kDocumentRefused,
                 {{"section", std::string(ToString(section))},
                  {"reason", error},
                  {"faults", std::to_string(errors.size())}});
    }
  }
  known = {errors.begin(), errors.end()};
  metrics_.Set("store_faults", {{"section", std::string(ToString(section))}},
               static_cast<double>(errors.size()));
}

void PublishedReader::Schedule(Task& task, bool succeeded, bool first) {
  core::Duration wait = first ? settings_.first_watch_delay_ : core::Duration{};
  if (!succeeded) {
    wait = task.backoff_.OnFailure(loop_.Now());
  } else {
    task.backoff_.OnSuccess();
  }
  if (!task.watched_) {
    // Another entry may have become the designated reader meanwhile, which
    // changes the interval.
    task.timer_.Once(succeeded ? core::Duration{} : wait,
                     [this, &task] { PollWhenDue(task); });
  } else if (task.active_) {
    task.timer_.Once(wait, [this, &task] { StartCall(task); });
  }
}

void PublishedReader::PollWhenDue(Task& task) {
  const auto due = task.requested_at_ + task.interval_();
  const auto now = loop_.Now();
  if (now >= due) {
    if (!task.call_pending_) {
      StartCall(task);
    }
    return;
  }
  // The interval may become shorter at any time.
  task.timer_.Once(std::min<core::Duration>(due - now, kPollCheckInterval),
                   [this, &task] { PollWhenDue(task); });
}

void PublishedReader::SetReachable(bool reachable) {
  if (std::exchange(reachable_, reachable) == reachable) {
    return;
  }
  reachable_since_ = loop_.Now();
  log_.Write(reachable ? core::EventNumber::kStoreReached
                       : core::EventNumber::kStoreUnreachable);
}

}  // namespace chalkwell::daemon::direct
