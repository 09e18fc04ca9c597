// The manifest is fetched first, as index 0, then the chunks. Each is verified
// before it is cached, staged or sent to peers.
#include "daemon/weight_fetcher.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include "daemon/swarm_members.hpp"

namespace chalkwell::daemon {
namespace {

constexpr auto kRequestInterval = std::chrono::milliseconds(20);
constexpr auto kStagingRetryDelay = std::chrono::milliseconds(500);
constexpr auto kPacerBurst = std::chrono::milliseconds(50);
constexpr std::uint64_t kMaxManifestBytes = std::uint64_t{64} << 20;

std::optional<Address> WeightStoreAddress(const Settings& settings) {
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
      weight_store_(WeightStoreAddress(process.settings())),
      origin_(ParseAddress(process.settings().Text("weights", "origin"))),
      chunks_(process.settings().Number("weights", "memory_bytes")),
      upload_(process.loop(), process.metrics(),
              process.settings().Number("weights", "link_bytes_per_second")),
      download_(process.settings().Number("weights", "link_bytes_per_second"),
                kPacerBurst),
      links_(process.loop(), process.config(), process.connection_settings(),
             {.on_chunks_changed_ =
                  [this](const core::InstanceId& peer,
                         const std::set<std::uint32_t>& held) {
                    announced_chunks_[peer] = held;
                    ApplyAnnouncement(peer, held);
                    SendRequests();
                  },
              .on_neighbour_lost_ =
                  [this](const core::InstanceId& peer) {
                    announced_chunks_.erase(peer);
                    if (current_job_) {
                      current_job_->planner_->OnPeerLost(peer);
                    }
                  },
              .on_version_served_ = std::move(on_serving)}),
      request_timer_(process.loop()) {}

std::pair<std::size_t, std::size_t> WeightFetcher::progress() const noexcept {
  return current_job_ ? std::pair(current_job_->staged_.count(),
                                  current_job_->assembly_.chunks().size())
                      : std::pair<std::size_t, std::size_t>(0, 0);
}

swarm::PlannerSettings WeightFetcher::MakePlannerSettings() const {
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
      MakePlannerSettings(), std::random_device{}());
  job->planner_->SetMembers(SwarmMembersOf(process_));
  if (current_job_) {
    Abandon(current_job_->target_.manifest_);
  }
  current_job_ = job;
  announced_chunks_.clear();
  process_.log().Write(core::EventNumber::kFetchStarted,
                       {{"version", std::to_string(target.version_)},
                        {"manifest", job->manifest_hex_}});
  job->planner_->Start({bundle::Chunk{target.manifest_, 1}}, swarm::ChunkSet(1),
                       job->started_);
  links_.Subscribe(job->manifest_hex_, NeighboursOf(process_));
  AnnounceChunks();
  request_timer_.Every(kRequestInterval, [this] { SendRequests(); });
  if (const auto held = chunks_.Find(target.manifest_)) {
    OnReceived(job, kManifestIndex, *held, "memory");
  }
  SendRequests();
}

void WeightFetcher::Abandon(const core::Digest& manifest) {
  if (!current_job_ || current_job_->target_.manifest_ != manifest) {
    return;
  }
  process_.log().Write(core::EventNumber::kFetchAbandoned,
                       {{"manifest", current_job_->manifest_hex_}});
  for (const auto& [index, call] : current_job_->origin_fetches_) {
    call->Cancel();
  }
  for (const auto& [index, call] : current_job_->peer_fetches_) {
    call->Cancel();
  }
  engine_.DeleteStaging(manifest);
  current_job_.reset();
  request_timer_.Cancel();
}

void WeightFetcher::UpdateMembers() {
  if (current_job_) {
    current_job_->planner_->SetMembers(SwarmMembersOf(process_));
    links_.Subscribe(current_job_->manifest_hex_, NeighboursOf(process_));
  } else if (completed_job_) {
    links_.Subscribe(completed_job_->manifest_hex_, NeighboursOf(process_));
  }
}

void WeightFetcher::ApplyAnnouncement(const core::InstanceId& peer,
                                      const std::set<std::uint32_t>& held) {
  if (!current_job_) {
    return;
  }
  swarm::SwarmMember member{peer, {}};
  for (const auto& known : SwarmMembersOf(process_)) {
    if (known.id_ == peer) {
      member = known;
    }
  }
  const std::size_t size =
      current_job_->has_manifest_ ? current_job_->assembly_.chunks().size() : 1;
  swarm::ChunkSet chunks(size);
  for (const auto index : held) {
    if (!current_job_->has_manifest_ && index == kManifestIndex) {
      chunks.Add(0);
    } else if (current_job_->has_manifest_ && index != kManifestIndex) {
      chunks.Add(index - 1);
    }
  }
  current_job_->planner_->OnAnnounced(member, chunks, process_.loop().Now());
}

core::Digest WeightFetcher::DigestOf(const Job& job, std::size_t index) const {
  return index == kManifestIndex ? job.target_.manifest_
                                 : job.assembly_.chunks()[index - 1].digest_;
}

std::uint64_t WeightFetcher::SizeOf(const Job& job, std::size_t index) const {
  return index == kManifestIndex ? kMaxManifestBytes
                                 : job.assembly_.chunks()[index - 1].size_;
}

void WeightFetcher::SendRequests() {
  const auto job = current_job_;
  if (!job) {
    return;
  }
  const auto now = process_.loop().Now();
  const std::size_t index_offset = job->has_manifest_ ? 1 : 0;
  for (const auto& expired : job->planner_->ExpireRequests(now)) {
    const auto index = expired.chunk_ + index_offset;
    if (auto call = job->peer_fetches_.extract(index); !call.empty()) {
      call.mapped()->Cancel();
    }
    if (auto call = job->origin_fetches_.extract(index); !call.empty()) {
      call.mapped()->Cancel();
    }
    process_.log().Write(
        core::EventNumber::kChunkFailed,
        {{"chunk", std::to_string(index)},
         {"peer", expired.peer_ ? expired.peer_->value() : "origin"},
         {"reason", "timeout"}});
  }
  if (download_.BacklogDelay(now) > core::Duration{}) {
    return;
  }
  for (const auto& request : job->planner_->Next(now)) {
    Request(job, {request.chunk_ + index_offset, request.peer_});
  }
}

void WeightFetcher::Request(const JobPtr& job,
                            const swarm::FetchRequest& request) {
  const auto size =
      request.chunk_ == kManifestIndex ? 0 : SizeOf(*job, request.chunk_);
  (void)download_.Reserve(size, process_.loop().Now());
  if (request.peer_) {
    FetchFromPeer(job, request.chunk_, *request.peer_);
  } else {
    FetchFromOrigin(job, request.chunk_, weight_store_.has_value());
  }
}

void WeightFetcher::FetchFromOrigin(const JobPtr& job, std::size_t index,
                                    bool from_store) {
  const HttpRequest request{.method_ = "GET",
                            .path_ = "/blobs/" + DigestOf(*job, index).ToHex(),
                            .headers_ = {},
                            .body_ = ""};
  const auto& address = from_store ? *weight_store_ : origin_;
  const std::string source = from_store ? "weight store" : "origin";
  job->origin_fetches_[index] = process_.http_client().Fetch(
      address, request,
      [this, job, index, from_store, source](HttpResponse response) {
        origin_bytes_ += response.body_.size();
        process_.metrics().Count("drawn_bytes_total", {{"source", source}},
                                 static_cast<double>(response.body_.size()));
        if (!IsCurrent(job)) {
          return;
        }
        job->origin_fetches_.erase(index);
        if (response.ok()) {
          process_.log().Write(
              core::EventNumber::kOriginFetchStarted,
              {{"chunk", std::to_string(index)}, {"source", source}});
          OnReceived(job, index, std::move(response.body_), source);
        } else if (from_store) {
          FetchFromOrigin(job, index, false);
        } else {
          OnFailed(job, index, source,
                   "status " + std::to_string(response.status_));
        }
      },
      SizeOf(*job, index));
}

void WeightFetcher::FetchFromPeer(const JobPtr& job, std::size_t index,
                                  const core::InstanceId& peer) {
  const auto connection = links_.Connection(peer);
  if (!connection) {
    OnFailed(job, index, peer.value(), "no connection to the peer");
    return;
  }
  const ChunkMessage message{.manifest_ = job->manifest_hex_,
                             .chunk_ = static_cast<std::uint32_t>(index)};
  job->peer_fetches_[index] = connection->Fetch(
      std::string(kChunkPath), Pack(message),
      [this, job, index, peer](PeerEnd end, int status, std::string body) {
        if (!IsCurrent(job)) {
          return;
        }
        job->peer_fetches_.erase(index);
        if (end == PeerEnd::kComplete && status == 200) {
          process_.metrics().Count("peer_bytes_total", {{"way", "in"}},
                                   static_cast<double>(body.size()));
          OnReceived(job, index, std::move(body), peer.value());
        } else {
          OnFailed(job, index, peer.value(),
                   "status " + std::to_string(status));
        }
      });
}

void WeightFetcher::OnFailed(const JobPtr& job, std::size_t index,
                             const std::string& source,
                             const std::string& reason) {
  const std::size_t index_offset = job->has_manifest_ ? 1 : 0;
  job->planner_->OnRequestFailed(index - index_offset, process_.loop().Now());
  process_.log().Write(
      core::EventNumber::kChunkFailed,
      {{"chunk", std::to_string(index)}, {"peer", source}, {"reason", reason}});
}

void WeightFetcher::OnReceived(const JobPtr& job, std::size_t index,
                               std::string bytes, const std::string& source) {
  const bool verified = index == kManifestIndex
                            ? core::Digest::Of(bytes) == job->target_.manifest_
                            : job->assembly_.VerifyAndAdd(index - 1, bytes);
  if (!verified) {
    process_.log().Write(core::EventNumber::kChunkCorrupt,
                         {{"chunk", std::to_string(index)}, {"peer", source}});
    OnFailed(job, index, source, "digest does not match");
    return;
  }
  const auto held = std::make_shared<const std::string>(std::move(bytes));
  chunks_.Insert(DigestOf(*job, index), held);
  if (index == kManifestIndex) {
    if (!job->has_manifest_) {
      OnManifest(job, *held);
    }
    return;
  }
  job->planner_->OnChunkReceived(index - 1, process_.loop().Now());
  AnnounceChunks();
  Stage(job, index - 1, held);
  SendRequests();
}

void WeightFetcher::OnManifest(const JobPtr& job, const std::string& text) {
  try {
    job->manifest_ = bundle::ParseManifest(text);
  } catch (const core::Error& error) {
    process_.log().Write(core::EventNumber::kDocumentRefused,
                         {{"key", "manifest"}, {"reason", error.what()}});
    current_job_.reset();
    return;
  }
  job->planner_->OnChunkReceived(0, process_.loop().Now());
  job->manifest_text_ = text;
  job->assembly_ = swarm::Assembly(job->manifest_.AllChunks());
  AnnounceChunks();
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
        process_.loop().After(kStagingRetryDelay, [this, job] {
          if (IsCurrent(job)) {
            BeginStaging(job);
          }
        });
      });
}

void WeightFetcher::StartChunks(const JobPtr& job,
                                const std::vector<std::size_t>& missing) {
  job->staged_ = swarm::ChunkSet(job->assembly_.chunks().size());
  const std::set<std::size_t> missing_chunks(missing.begin(), missing.end());
  swarm::ChunkSet held(job->assembly_.chunks().size());
  for (std::size_t chunk = 0; chunk < job->assembly_.chunks().size(); ++chunk) {
    if (!missing_chunks.contains(chunk)) {
      job->staged_.Add(chunk);
      held.Add(chunk);
    } else if (chunks_.Find(job->assembly_.chunks()[chunk].digest_)) {
      held.Add(chunk);
    }
  }
  job->has_manifest_ = true;
  job->planner_->Start(job->assembly_.chunks(), held, process_.loop().Now());
  for (const auto& [peer, indexes] : std::map(announced_chunks_)) {
    ApplyAnnouncement(peer, indexes);
  }
  AnnounceChunks();
  for (const auto chunk : missing_chunks) {
    if (const auto bytes =
            chunks_.Find(job->assembly_.chunks()[chunk].digest_)) {
      Stage(job, chunk, bytes);
    }
  }
  SealIfComplete(job);
  SendRequests();
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
                         SealIfComplete(job);
                         return;
                       }
                       process_.log().Write(core::EventNumber::kStageFailed,
                                            {{"chunk", std::to_string(chunk)}});
                       process_.loop().After(kStagingRetryDelay,
                                             [this, job, chunk, bytes] {
                                               if (IsCurrent(job)) {
                                                 Stage(job, chunk, bytes);
                                               }
                                             });
                     });
}

void WeightFetcher::SealIfComplete(const JobPtr& job) {
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
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(
        process_.loop().Now() - job->started_);
    process_.log().Write(core::EventNumber::kFetchFinished,
                         {{"version", std::to_string(job->target_.version_)},
                          {"ms", std::to_string(duration.count())}});
    completed_job_ = job;
    current_job_.reset();
    request_timer_.Cancel();
    on_staged_(job->target_.manifest_);
  });
}

void WeightFetcher::AnnounceChunks() {
  const auto& job = current_job_ ? current_job_ : completed_job_;
  if (!job) {
    return;
  }
  std::set<std::uint32_t> held;
  if (chunks_.Find(job->target_.manifest_)) {
    held.insert(kManifestIndex);
  }
  for (std::size_t chunk = 0; chunk < job->assembly_.chunks().size(); ++chunk) {
    if (chunks_.Find(job->assembly_.chunks()[chunk].digest_)) {
      held.insert(static_cast<std::uint32_t>(chunk + 1));
    }
  }
  links_.SetHeldChunks(job->manifest_hex_, std::move(held));
}

void WeightFetcher::HandleChunk(const PeerCallPtr& call) {
  const auto message = Unpack<ChunkMessage>(call->body(), "chunk");
  const auto& job =
      current_job_ && current_job_->manifest_hex_ == message.manifest_
          ? current_job_
          : completed_job_;
  const bool known = job && job->manifest_hex_ == message.manifest_ &&
                     message.chunk_ <= job->assembly_.chunks().size();
  const auto bytes =
      known ? chunks_.Find(DigestOf(*job, message.chunk_)) : nullptr;
  if (!bytes) {
    call->Respond(404, "not held");
    return;
  }
  upload_.Send(call, bytes);
}

}  // namespace chalkwell::daemon
