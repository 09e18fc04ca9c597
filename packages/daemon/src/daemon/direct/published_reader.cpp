// One call at a time for each section.
#include "daemon/direct/published_reader.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::daemon::direct {
namespace {

/// First wait after a failed call; doubled up to the setting's longest.
constexpr auto kFirstBackoff = std::chrono::milliseconds(100);
constexpr unsigned kMaxDoublings = 6;

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

void PublishedReader::Watch(Section section) { Start(section, true); }

void PublishedReader::Poll(Section section) { Start(section, false); }

void PublishedReader::Start(Section section, bool watched) {
  auto& task =
      tasks_.try_emplace(section, loop_, section, watched).first->second;
  Ask(task);
}

void PublishedReader::ReadNow(Section section) {
  const auto found = tasks_.find(section);
  if (found == tasks_.end()) {
    store_.read_(section, [this, section](const Published& published) {
      if (published.end_ == ReadEnd::kRead) {
        handler_(section, published);
      }
    });
  } else if (!found->second.asking_) {
    Ask(found->second);
  }
}

void PublishedReader::Ask(Task& task) {
  task.asking_ = true;
  metrics_.Count("store_calls_total",
                 {{"section", std::string(ToString(task.section_))}});
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
      wait = settings_.poll_interval_;
    }
  }
  task.timer_.Once(wait, [this, &task] { Ask(task); });
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
