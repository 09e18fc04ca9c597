// One call at a time for each section.
#include "daemon/direct/published_reader.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace chalkwell::daemon::direct {
namespace {

/// Pauses after failed calls.
constexpr core::BackoffSettings kPause{std::chrono::milliseconds(100),
                                       std::chrono::milliseconds(1000)};
/// Faults of one answer that are logged; the line says how many there are.
constexpr std::size_t kMostFaults = 8;
/// Between two lines of the log that tell how often the store was called.
constexpr auto kTellInterval = std::chrono::seconds(10);
/// A poll that may become due earlier is looked at this often.
constexpr auto kPollCheck = std::chrono::milliseconds(200);

std::string_view ToString(ReadOutcome end) {
  switch (end) {
    case ReadOutcome::kRead:
      return "read";
    case ReadOutcome::kUnchanged:
      return "nothing-new";
    case ReadOutcome::kCompacted:
      return "history-gone";
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
      calls_(log, metrics),
      handler_(std::move(handler)),
      since_(loop.Now()),
      tell_(loop) {
  tell_.Every(kTellInterval, [this] { calls_.LogSummary(); });
}

PublishedReader::Task::Task(Loop& loop, Section section, bool watched,
                            core::Duration wait)
    : section_(section),
      watched_(watched),
      backoff_(kPause, std::random_device{}()),
      wait_(wait),
      timer_(loop) {}

void PublishedReader::Watch(Section section) {
  const bool known = tasks_.contains(section);
  auto& task = Start(section, true);
  if (known && task.active_) {
    return;
  }
  task.active_ = true;
  if (!task.asking_) {
    Ask(task);
  }
}

void PublishedReader::SetWatchWait(Section section, core::Duration wait) {
  Start(section, true).wait_ = wait;
}

void PublishedReader::Unwatch(Section section) {
  auto& task = Start(section, true);
  task.active_ = false;
  task.timer_.Cancel();
  EndCall(task);
}

void PublishedReader::AdvanceTo(Section section, std::uint64_t revision) {
  const auto found = tasks_.find(section);
  if (found == tasks_.end() || found->second.revision_ >= revision) {
    return;
  }
  auto& task = found->second;
  task.revision_ = revision;
  if (task.active_ && task.asking_) {
    EndCall(task);
    Ask(task);
  }
}

void PublishedReader::EndCall(Task& task) {
  if (std::exchange(task.asking_, false)) {
    task.cancel_();
  }
}

void PublishedReader::Poll(Section section,
                           std::function<core::Duration()> interval,
                           std::function<void()> on_failed) {
  auto& task = Start(section, false);
  task.interval_ = std::move(interval);
  task.on_failed_ = std::move(on_failed);
  Ask(task);
}

PublishedReader::Task& PublishedReader::Start(Section section, bool watched) {
  return tasks_
      .try_emplace(section, loop_, section, watched, settings_.watch_wait_)
      .first->second;
}

void PublishedReader::ReadNow(Section section,
                              std::optional<core::Duration> longest) {
  const auto found = tasks_.find(section);
  const bool polled = found != tasks_.end() && !found->second.watched_;
  if (polled) {
    if (!found->second.asking_) {
      Ask(found->second);
    }
    return;
  }
  const auto number = ++reads_;
  if (!reading_.emplace(section, number).second) {
    return;
  }
  calls_.OnCall(section, StoreCallCause::kSingleRead);
  const auto cancel = store_.read_(
      section,
      [this, section, asked_at = loop_.Now()](StoreSnapshot published) {
        reading_.erase(section);
        CountAnswer(section, published);
        if (published.outcome_ == ReadOutcome::kRead) {
          published.as_of_ = asked_at;
          handler_(section, published);
        }
      });
  if (!longest) {
    return;
  }
  loop_.After(*longest, [this, section, number, cancel] {
    const auto found = reading_.find(section);
    if (found != reading_.end() && found->second == number) {
      reading_.erase(found);
      cancel();
    }
  });
}

void PublishedReader::CountAnswer(Section section,
                                  const StoreSnapshot& published) {
  metrics_.Count("store_answers_total",
                 {{"section", std::string(ToString(section))},
                  {"end", std::string(ToString(published.outcome_))}});
  auto bytes = published.encoded_rules_.size();
  for (const auto& page : published.encoded_pages_) {
    bytes += page.size();
  }
  metrics_.Count("store_document_bytes_total",
                 {{"section", std::string(ToString(section))}},
                 static_cast<double>(bytes));
}

void PublishedReader::Ask(Task& task) {
  const bool known = task.section_ == Section::kRules && task.revision_ > 0;
  if (task.failed_ && known) {
    Probe(task);
    return;
  }
  task.asking_ = true;
  task.asked_at_ = loop_.Now();
  calls_.OnCall(task.section_, CauseOf(task));
  task.cancel_ = Call(task, [this, &task](StoreSnapshot published) {
    task.asking_ = false;
    published.as_of_ = task.asked_at_;
    OnAnswer(task, published);
  });
}

StoreCallCause PublishedReader::CauseOf(const Task& task) {
  if (!task.watched_) {
    return StoreCallCause::kPoll;
  }
  return task.revision_ > 0 ? StoreCallCause::kWatch : StoreCallCause::kRead;
}

CancelCall PublishedReader::Call(Task& task, SnapshotHandler done) {
  if (task.watched_ && task.revision_ > 0) {
    return store_.watch_(task.section_, task.revision_, task.wait_,
                         std::move(done));
  }
  return store_.read_(task.section_, std::move(done));
}

// Rules that are known are not read once more after a failure: entries that
// lost the store together read 1.3 MB each through one link, which made them
// lose it again. A watch alone would not notice for its whole wait that the
// store takes calls and answers none, so a small read goes before it.
void PublishedReader::Probe(Task& task) {
  task.asking_ = true;
  calls_.OnCall(Section::kWeights, StoreCallCause::kProbe);
  task.cancel_ = store_.read_(
      Section::kWeights, [this, &task](const StoreSnapshot& published) {
        task.asking_ = false;
        CountAnswer(Section::kWeights, published);
        task.failed_ = published.outcome_ == ReadOutcome::kUnreachable;
        SetReachable(!task.failed_);
        Schedule(task, !task.failed_, false);
      });
}

void PublishedReader::OnAnswer(Task& task, const StoreSnapshot& published) {
  CountAnswer(task.section_, published);
  LogFaults(task.section_, published.decode_errors_);
  const bool first = task.revision_ == 0;
  switch (published.outcome_) {
    case ReadOutcome::kRead:
      SetReachable(true);
      last_read_ = loop_.Now();
      task.revision_ = std::max(task.revision_, published.revision_);
      handler_(task.section_, published);
      break;
    case ReadOutcome::kUnchanged:
      SetReachable(true);
      last_read_ = loop_.Now();
      task.revision_ = std::max(task.revision_, published.revision_);
      break;
    case ReadOutcome::kCompacted:
      SetReachable(true);
      task.revision_ = 0;
      break;
    case ReadOutcome::kUnreachable:
      SetReachable(false);
      if (task.section_ != Section::kRules) {
        // Read anew: these are small, and the read shows when the store is
        // back.
        task.revision_ = 0;
      }
      break;
  }
  task.failed_ = published.outcome_ == ReadOutcome::kUnreachable;
  if (task.failed_ && task.on_failed_) {
    task.on_failed_();
  }
  Schedule(task, !task.failed_, first);
}

void PublishedReader::LogFaults(Section section,
                                const std::vector<std::string>& faults) {
  auto& known = faults_[section];
  std::size_t fresh = 0;
  for (const auto& fault : faults) {
    if (!known.contains(fault) && ++fresh <= kMostFaults) {
      log_.Write(core::EventNumber::kDocumentRefused,
                 {{"section", std::string(ToString(section))},
                  {"reason", fault},
                  {"faults", std::to_string(faults.size())}});
    }
  }
  known = {faults.begin(), faults.end()};
  metrics_.Set("store_faults", {{"section", std::string(ToString(section))}},
               static_cast<double>(faults.size()));
}

void PublishedReader::Schedule(Task& task, bool succeeded, bool first) {
  core::Duration wait = first ? settings_.first_watch_delay_ : core::Duration{};
  if (!succeeded) {
    wait = task.backoff_.OnFailure(loop_.Now());
  } else {
    task.backoff_.OnSuccess();
  }
  if (!task.watched_) {
    // Others may have taken the reading up meanwhile.
    task.timer_.Once(succeeded ? core::Duration{} : wait,
                     [this, &task] { PollWhenDue(task); });
  } else if (task.active_) {
    task.timer_.Once(wait, [this, &task] { Ask(task); });
  }
}

void PublishedReader::PollWhenDue(Task& task) {
  const auto due = task.asked_at_ + task.interval_();
  const auto now = loop_.Now();
  if (now >= due) {
    if (!task.asking_) {
      Ask(task);
    }
    return;
  }
  // The interval may become shorter at any time.
  task.timer_.Once(std::min<core::Duration>(due - now, kPollCheck),
                   [this, &task] { PollWhenDue(task); });
}

void PublishedReader::SetReachable(bool reachable) {
  if (std::exchange(reachable_, reachable) == reachable) {
    return;
  }
  since_ = loop_.Now();
  log_.Write(reachable ? core::EventNumber::kPlatformReached
                       : core::EventNumber::kPlatformUnreachable);
}

}  // namespace chalkwell::daemon::direct
