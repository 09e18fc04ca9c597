// One call at a time for each section.
#include "daemon/direct/published_reader.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::daemon::direct {
namespace {

/// First wait after a failed call; doubled up to the setting's longest.
constexpr auto kFirstBackoff = std::chrono::milliseconds(100);
constexpr unsigned kMaxDoublings = 6;
/// A poll that may become due earlier is looked at this often.
constexpr auto kPollCheck = std::chrono::milliseconds(200);

std::string_view ToString(Section section) {
  switch (section) {
    case Section::kRules:
      return "rules";
    case Section::kWeights:
      return "weights";
    case Section::kEndpoints:
      return "endpoints";
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
      handler_(std::move(handler)),
      random_(std::random_device{}()),
      since_(loop.Now()) {}

void PublishedReader::Watch(Section section) { Ask(Start(section, true)); }

void PublishedReader::Poll(Section section,
                           std::function<core::Duration()> interval) {
  auto& task = Start(section, false);
  task.interval_ = std::move(interval);
  Ask(task);
}

PublishedReader::Task& PublishedReader::Start(Section section, bool watched) {
  return tasks_.try_emplace(section, loop_, section, watched).first->second;
}

void PublishedReader::ReadNow(Section section) {
  const auto found = tasks_.find(section);
  const bool polled = found != tasks_.end() && !found->second.watched_;
  if (polled) {
    if (!found->second.asking_) {
      Ask(found->second);
    }
    return;
  }
  if (!reading_.insert(section).second) {
    return;
  }
  CountCall(section);
  store_.read_(section, [this, section](const Published& published) {
    reading_.erase(section);
    if (published.end_ == ReadEnd::kRead) {
      handler_(section, published);
    }
  });
}

void PublishedReader::CountCall(Section section) {
  metrics_.Count("store_calls_total",
                 {{"section", std::string(ToString(section))}});
}

void PublishedReader::Ask(Task& task) {
  task.asking_ = true;
  task.asked_at_ = loop_.Now();
  CountCall(task.section_);
  const auto done = [this, &task](const Published& published) {
    task.asking_ = false;
    OnAnswer(task, published);
  };
  if (task.watched_ && task.revision_ > 0) {
    store_.watch_(task.section_, task.revision_, settings_.watch_wait_, done);
  } else {
    store_.read_(task.section_, done);
  }
}

void PublishedReader::OnAnswer(Task& task, const Published& published) {
  for (const auto& fault : published.faults_) {
    log_.Write(
        core::EventNumber::kDocumentRefused,
        {{"section", std::string(ToString(task.section_))}, {"reason", fault}});
  }
  switch (published.end_) {
    case ReadEnd::kRead:
      SetReachable(true);
      last_read_ = loop_.Now();
      task.revision_ = std::max(task.revision_, published.revision_);
      handler_(task.section_, published);
      break;
    case ReadEnd::kNothingNew:
      SetReachable(true);
      last_read_ = loop_.Now();
      task.revision_ = std::max(task.revision_, published.revision_);
      break;
    case ReadEnd::kHistoryGone:
      SetReachable(true);
      task.revision_ = 0;
      break;
    case ReadEnd::kUnreachable:
      SetReachable(false);
      // Changes may have been missed by a watch that was cut: read anew.
      task.revision_ = 0;
      break;
  }
  Schedule(task, published.end_ != ReadEnd::kUnreachable);
}

void PublishedReader::Schedule(Task& task, bool succeeded) {
  core::Duration wait{};
  if (!succeeded) {
    task.failures_ = std::min(task.failures_ + 1, kMaxDoublings);
    wait = std::min<core::Duration>(
        kFirstBackoff * (1U << (task.failures_ - 1)), settings_.max_backoff_);
    wait = wait / 2 + wait * (random_() % 512) / 1024;
  } else {
    task.failures_ = 0;
    if (!task.watched_) {
      PollWhenDue(task);
      return;
    }
  }
  task.timer_.Once(wait, [this, &task] { Ask(task); });
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
