// The swarm's plan carried out: manifest first (as index 0), then chunks, each
// verified before it is kept, staged or served.
#include "daemon/weight_fetcher.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include "daemon/swarm_members.hpp"

namespace chalkwell::daemon {
namespace {

constexpr auto kPumpPeriod = std::chrono::milliseconds(20);
constexpr auto kStageRetry = std::chrono::milliseconds(500);
constexpr auto kBurst = std::chrono::milliseconds(50);
constexpr std::uint64_t kMaxManifest = std::uint64_t{64} << 20;

std::optional<Address> StoreAddress(const Settings& settings) {
  const auto& text = settings.Text("weights", "store");
  return text.empty() ? std::nullopt : std::optional(ParseAddress(text));
}

}  // namespace

WeightFetcher::WeightFetcher(
    Process& process, EngineClient& engine,
    std::function<void(const core::Digest&)> on_staged,
    std::function<void(const core::InstanceId&, std::uint64_t)> on_serving)
    : process_(process),
      engine_(engine),
      on_staged_(std::move(on_staged)),
      store_address_(StoreAddress(process.settings())),
      origin_(ParseAddress(process.settings().Text("weights", "origin"))),
      store_(process.settings().Number("weights", "memory_bytes")),
      upload_(process.loop(), process.metrics(),
              process.settings().Number("weights", "link_bytes_per_second")),
      download_(process.settings().Number("weights", "link_bytes_per_second"),
                kBurst),
      links_(process.loop(), process.config(), process.connection_settings(),
             {.on_held_ =
                  [this](const core::InstanceId& peer,
                         const std::set<std::uint32_t>& held) {
                    peer_held_[peer] = held;
                    ApplyHeld(peer, held);
                    Pump();
                  },
              .on_lost_ =
                  [this](const core::InstanceId& peer) {
                    peer_held_.erase(peer);
                    if (job_) {
                      job_->planner_->OnPeerLost(peer);
                    }
                  },
              .on_serving_ = std::move(on_serving)}),
      pump_(process.loop()) {}

std::pair<std::size_t, std::size_t> WeightFetcher::progress() const noexcept {
  return job_
             ? std::pair(job_->staged_.count(), job_->assembly_.chunks().size())
             : std::pair<std::size_t, std::size_t>(0, 0);
}

swarm::PlannerSettings WeightFetcher::PlannerSettingsFor() const {
  const auto& settings = process_.settings();
  return {
      .origin_copies_ = settings.Number("weights", "origin_copies"),
      .max_requests_per_peer_ = settings.Number("weights", "per_peer"),
      .max_peer_requests_ = settings.Number("weights", "in_flight"),
      .origin_takeover_timeout_ =
          settings.Milliseconds("weights", "draw_silence_ms"),
      .chunk_timeout_ = settings.Milliseconds("weights", "chunk_timeout_ms")};
}

void WeightFetcher::Fetch(const rollout::Target& target) {
  auto job = std::make_shared<Job>();
  job->target_ = target;
  job->manifest_hex_ = target.manifest_.ToHex();
  job->started_ = process_.loop().Now();
  job->planner_ = std::make_unique<swarm::Planner>(
      swarm::SwarmMember{process_.id(), process_.domain()},
      PlannerSettingsFor(), std::random_device{}());
  job->planner_->SetMembers(SwarmMembersOf(process_));
  if (job_) {
    Abandon(job_->target_.manifest_);
  }
  job_ = job;
  peer_held_.clear();
  process_.log().Write(core::EventNumber::kFetchStarted,
                       {{"version", std::to_string(target.version_)},
                        {"manifest", job->manifest_hex_}});
  job->planner_->Start({bundle::Chunk{target.manifest_, 1}}, swarm::ChunkSet(1),
                       job->started_);
  links_.Follow(job->manifest_hex_, NeighboursOf(process_));
  AnnounceHeld();
  pump_.Every(kPumpPeriod, [this] { Pump(); });
  if (const auto held = store_.Find(target.manifest_)) {
    OnBytes(job, kManifestIndex, *held, "memory");
  }
  Pump();
}

void WeightFetcher::Abandon(const core::Digest& manifest) {
  if (!job_ || job_->target_.manifest_ != manifest) {
    return;
  }
  process_.log().Write(core::EventNumber::kFetchAbandoned,
                       {{"manifest", job_->manifest_hex_}});
  for (const auto& [index, call] : job_->draws_) {
    call->Cancel();
  }
  for (const auto& [index, call] : job_->calls_) {
    call->Cancel();
  }
  engine_.DropStaging(manifest);
  job_.reset();
  pump_.Cancel();
}

void WeightFetcher::UpdateMembers() {
  if (job_) {
    job_->planner_->SetMembers(SwarmMembersOf(process_));
    links_.Follow(job_->manifest_hex_, NeighboursOf(process_));
  } else if (finished_) {
    links_.Follow(finished_->manifest_hex_, NeighboursOf(process_));
  }
}

void WeightFetcher::ApplyHeld(const core::InstanceId& peer,
                              const std::set<std::uint32_t>& held) {
  if (!job_) {
    return;
  }
  swarm::SwarmMember member{peer, {}};
  for (const auto& known : SwarmMembersOf(process_)) {
    if (known.id_ == peer) {
      member = known;
    }
  }
  const std::size_t size =
      job_->has_manifest_ ? job_->assembly_.chunks().size() : 1;
  swarm::ChunkSet chunks(size);
  for (const auto index : held) {
    if (!job_->has_manifest_ && index == kManifestIndex) {
      chunks.Add(0);
    } else if (job_->has_manifest_ && index != kManifestIndex) {
      chunks.Add(index - 1);
    }
  }
  job_->planner_->OnAnnounced(member, chunks, process_.loop().Now());
}

core::Digest WeightFetcher::DigestOf(const Job& job, std::size_t index) const {
  return index == kManifestIndex ? job.target_.manifest_
                                 : job.assembly_.chunks()[index - 1].digest_;
}

std::uint64_t WeightFetcher::SizeOf(const Job& job, std::size_t index) const {
  return index == kManifestIndex ? kMaxManifest
                                 : job.assembly_.chunks()[index - 1].size_;
}

void WeightFetcher::Pump() {
  const auto job = job_;
  if (!job) {
    return;
  }
  const auto now = process_.loop().Now();
  const std::size_t shift = job->has_manifest_ ? 1 : 0;
  for (const auto& late : job->planner_->ExpireRequests(now)) {
    const auto index = late.chunk_ + shift;
    if (auto call = job->calls_.extract(index); !call.empty()) {
      call.mapped()->Cancel();
    }
    if (auto call = job->draws_.extract(index); !call.empty()) {
      call.mapped()->Cancel();
    }
    process_.log().Write(core::EventNumber::kChunkFailed,
                         {{"chunk", std::to_string(index)},
                          {"peer", late.peer_ ? late.peer_->value() : "origin"},
                          {"reason", "timeout"}});
  }
  if (download_.BacklogDelay(now) > core::Duration{}) {
    return;
  }
  for (const auto& order : job->planner_->Next(now)) {
    Request(job, {order.chunk_ + shift, order.peer_});
  }
}

void WeightFetcher::Request(const JobPtr& job,
                            const swarm::FetchRequest& order) {
  const auto size =
      order.chunk_ == kManifestIndex ? 0 : SizeOf(*job, order.chunk_);
  (void)download_.Reserve(size, process_.loop().Now());
  if (order.peer_) {
    AskPeer(job, order.chunk_, *order.peer_);
  } else {
    Draw(job, order.chunk_, store_address_.has_value());
  }
}

void WeightFetcher::Draw(const JobPtr& job, std::size_t index,
                         bool from_store) {
  const HttpRequest request{.method_ = "GET",
                            .path_ = "/blobs/" + DigestOf(*job, index).ToHex(),
                            .headers_ = {},
                            .body_ = ""};
  const auto& address = from_store ? *store_address_ : origin_;
  const std::string source = from_store ? "weight store" : "origin";
  job->draws_[index] = process_.http().Fetch(
      address, request,
      [this, job, index, from_store, source](HttpResponse response) {
        drawn_bytes_ += response.body_.size();
        process_.metrics().Count("drawn_bytes_total", {{"source", source}},
                                 static_cast<double>(response.body_.size()));
        if (!IsCurrent(job)) {
          return;
        }
        job->draws_.erase(index);
        if (response.ok()) {
          process_.log().Write(
              core::EventNumber::kOriginFetched,
              {{"chunk", std::to_string(index)}, {"source", source}});
          OnBytes(job, index, std::move(response.body_), source);
        } else if (from_store) {
          Draw(job, index, false);
        } else {
          OnFailed(job, index, source,
                   "status " + std::to_string(response.status_));
        }
      },
      SizeOf(*job, index));
}

void WeightFetcher::AskPeer(const JobPtr& job, std::size_t index,
                            const core::InstanceId& peer) {
  const auto connection = links_.Connection(peer);
  if (!connection) {
    OnFailed(job, index, peer.value(), "no stream");
    return;
  }
  const ChunkMessage message{.manifest_ = job->manifest_hex_,
                             .chunk_ = static_cast<std::uint32_t>(index)};
  job->calls_[index] = connection->Ask(
      std::string(kChunkPath), Pack(message),
      [this, job, index, peer](PeerEnd end, int status, std::string body) {
        if (!IsCurrent(job)) {
          return;
        }
        job->calls_.erase(index);
        if (end == PeerEnd::kWhole && status == 200) {
          process_.metrics().Count("peer_bytes_total", {{"way", "in"}},
                                   static_cast<double>(body.size()));
          OnBytes(job, index, std::move(body), peer.value());
        } else {
          OnFailed(job, index, peer.value(),
                   "status " + std::to_string(status));
        }
      });
}

void WeightFetcher::OnFailed(const JobPtr& job, std::size_t index,
                             const std::string& source,
                             const std::string& reason) {
  const std::size_t shift = job->has_manifest_ ? 1 : 0;
  job->planner_->OnRequestFailed(index - shift, process_.loop().Now());
  process_.log().Write(
      core::EventNumber::kChunkFailed,
      {{"chunk", std::to_string(index)}, {"peer", source}, {"reason", reason}});
}

void WeightFetcher::OnBytes(const JobPtr& job, std::size_t index,
                            std::string bytes, const std::string& source) {
  const bool good = index == kManifestIndex
                        ? core::Digest::Of(bytes) == job->target_.manifest_
                        : job->assembly_.VerifyAndAdd(index - 1, bytes);
  if (!good) {
    process_.log().Write(core::EventNumber::kChunkCorrupt,
                         {{"chunk", std::to_string(index)}, {"peer", source}});
    OnFailed(job, index, source, "digest does not match");
    return;
  }
  const auto held = std::make_shared<const std::string>(std::move(bytes));
  store_.Put(DigestOf(*job, index), held);
  if (index == kManifestIndex) {
    if (!job->has_manifest_) {
      OnManifest(job, *held);
    }
    return;
  }
  job->planner_->OnChunkReceived(index - 1, process_.loop().Now());
  AnnounceHeld();
  Stage(job, index - 1, held);
  Pump();
}

void WeightFetcher::OnManifest(const JobPtr& job, const std::string& text) {
  try {
    job->manifest_ = bundle::ParseManifest(text);
  } catch (const core::Error& error) {
    process_.log().Write(core::EventNumber::kDocumentRefused,
                         {{"key", "manifest"}, {"reason", error.what()}});
    job_.reset();
    return;
  }
  job->planner_->OnChunkReceived(0, process_.loop().Now());
  job->manifest_text_ = text;
  job->assembly_ = swarm::Assembly(job->manifest_.AllChunks());
  AnnounceHeld();
  BeginStaging(job);
}

void WeightFetcher::BeginStaging(const JobPtr& job) {
  engine_.BeginStaging(
      job->target_.manifest_, job->manifest_text_,
      [this, job](const std::optional<std::vector<std::size_t>>& missing) {
        if (!IsCurrent(job)) {
          return;
        }
        if (missing) {
          StartChunks(job, *missing);
          return;
        }
        process_.log().Write(core::EventNumber::kStageFailed,
                             {{"manifest", job->manifest_hex_}});
        process_.loop().After(kStageRetry, [this, job] {
          if (IsCurrent(job)) {
            BeginStaging(job);
          }
        });
      });
}

void WeightFetcher::StartChunks(const JobPtr& job,
                                const std::vector<std::size_t>& missing) {
  job->staged_ = swarm::ChunkSet(job->assembly_.chunks().size());
  const std::set<std::size_t> lacking(missing.begin(), missing.end());
  swarm::ChunkSet held(job->assembly_.chunks().size());
  for (std::size_t chunk = 0; chunk < job->assembly_.chunks().size(); ++chunk) {
    if (!lacking.contains(chunk)) {
      job->staged_.Add(chunk);
      held.Add(chunk);
    } else if (store_.Find(job->assembly_.chunks()[chunk].digest_)) {
      held.Add(chunk);
    }
  }
  job->has_manifest_ = true;
  job->planner_->Start(job->assembly_.chunks(), held, process_.loop().Now());
  for (const auto& [peer, indexes] : std::map(peer_held_)) {
    ApplyHeld(peer, indexes);
  }
  AnnounceHeld();
  for (const auto chunk : lacking) {
    if (const auto bytes =
            store_.Find(job->assembly_.chunks()[chunk].digest_)) {
      Stage(job, chunk, bytes);
    }
  }
  SealIfWhole(job);
  Pump();
}

void WeightFetcher::Stage(const JobPtr& job, std::size_t chunk,
                          const ChunkStore::Bytes& bytes) {
  if (job->staged_.Has(chunk) || !job->staging_.insert(chunk).second) {
    return;
  }
  engine_.StageChunk(job->target_.manifest_, chunk, *bytes,
                     [this, job, chunk, bytes](bool accepted) {
                       job->staging_.erase(chunk);
                       if (!IsCurrent(job)) {
                         return;
                       }
                       if (accepted) {
                         job->staged_.Add(chunk);
                         SealIfWhole(job);
                         return;
                       }
                       process_.log().Write(core::EventNumber::kStageFailed,
                                            {{"chunk", std::to_string(chunk)}});
                       process_.loop().After(kStageRetry,
                                             [this, job, chunk, bytes] {
                                               if (IsCurrent(job)) {
                                                 Stage(job, chunk, bytes);
                                               }
                                             });
                     });
}

void WeightFetcher::SealIfWhole(const JobPtr& job) {
  if (!job->staged_.full() || job->sealing_) {
    return;
  }
  job->sealing_ = true;
  engine_.SealStaging(job->target_.manifest_, [this, job](bool accepted) {
    if (!IsCurrent(job)) {
      return;
    }
    job->sealing_ = false;
    if (!accepted) {
      process_.log().Write(core::EventNumber::kStageFailed,
                           {{"manifest", job->manifest_hex_}});
      BeginStaging(job);
      return;
    }
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        process_.loop().Now() - job->started_);
    process_.log().Write(core::EventNumber::kFetchFinished,
                         {{"version", std::to_string(job->target_.version_)},
                          {"ms", std::to_string(took.count())}});
    finished_ = job;
    job_.reset();
    pump_.Cancel();
    on_staged_(job->target_.manifest_);
  });
}

void WeightFetcher::AnnounceHeld() {
  const auto& job = job_ ? job_ : finished_;
  if (!job) {
    return;
  }
  std::set<std::uint32_t> held;
  if (store_.Find(job->target_.manifest_)) {
    held.insert(kManifestIndex);
  }
  for (std::size_t chunk = 0; chunk < job->assembly_.chunks().size(); ++chunk) {
    if (store_.Find(job->assembly_.chunks()[chunk].digest_)) {
      held.insert(static_cast<std::uint32_t>(chunk + 1));
    }
  }
  links_.SetHeld(job->manifest_hex_, std::move(held));
}

void WeightFetcher::HandleChunk(const PeerCallPtr& call) {
  const auto message = Unpack<ChunkMessage>(call->body(), "chunk");
  const auto& job =
      job_ && job_->manifest_hex_ == message.manifest_ ? job_ : finished_;
  const bool known = job && job->manifest_hex_ == message.manifest_ &&
                     message.chunk_ <= job->assembly_.chunks().size();
  const auto bytes =
      known ? store_.Find(DigestOf(*job, message.chunk_)) : nullptr;
  if (!bytes) {
    call->Respond(404, "not held");
    return;
  }
  upload_.Send(call, bytes);
}

}  // namespace chalkwell::daemon
