// Each node requests the chunks in order from its parent, a few at a time. A
// parent responds once it holds the chunk and its upload limit allows.
#include "baseline.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chalkwell/swarm/pacer.hpp"
#include "daemon/http_client.hpp"
#include "daemon/http_server.hpp"

namespace chalkwell::bench {
namespace {

using namespace std::chrono_literals;

constexpr auto kPacerBurst = 50ms;
constexpr auto kIoTimeout = 600s;
constexpr std::size_t kRequestsInFlight = 4;

class Node {
 public:
  Node(daemon::Loop& loop, daemon::HttpClient& client,
       std::uint64_t bytes_per_second, std::size_t chunk_count,
       std::uint64_t chunk_bytes, bool is_origin)
      : loop_(loop),
        client_(client),
        upload_pacer_(bytes_per_second, kPacerBurst),
        download_pacer_(bytes_per_second, kPacerBurst),
        chunk_data_(chunk_bytes, 'x'),
        held_chunks_(is_origin ? chunk_count : 0),
        chunk_count_(chunk_count),
        pending_requests_(chunk_count),
        server_(loop, {.address_ = {"127.0.0.1", 0}},
                [this](const daemon::HttpExchangePtr& exchange) {
                  RespondWithChunk(exchange);
                }) {}

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

  void StartFetching(std::uint16_t parent_port,
                     std::function<void()> on_complete) {
    parent_port_ = parent_port;
    on_complete_ = std::move(on_complete);
    for (std::size_t i = 0; i < kRequestsInFlight; ++i) {
      RequestNextChunk();
    }
  }

 private:
  void RespondWithChunk(const daemon::HttpExchangePtr& exchange) {
    const auto chunk = std::stoul(exchange->request().path_.substr(1));
    if (chunk >= held_chunks_) {
      pending_requests_[chunk].push_back(exchange);
      return;
    }
    const auto delay = upload_pacer_.Reserve(chunk_data_.size(), loop_.Now());
    loop_.After(delay,
                [this, exchange] { exchange->Respond(200, {}, chunk_data_); });
  }

  void RequestNextChunk() {
    if (requested_chunks_ >= chunk_count_) {
      return;
    }
    const auto chunk = requested_chunks_++;
    const auto delay = download_pacer_.Reserve(chunk_data_.size(), loop_.Now());
    loop_.After(delay, [this, chunk] {
      client_.Fetch({"127.0.0.1", parent_port_},
                    {.method_ = "GET", .path_ = "/" + std::to_string(chunk)},
                    [this](const daemon::HttpResponse&) { OnChunkReceived(); });
    });
  }

  void OnChunkReceived() {
    // The few requests in flight may be answered out of order. All chunks have
    // the same size and content, so that counting them is enough.
    const auto chunk = held_chunks_++;
    for (const auto& exchange : pending_requests_[chunk]) {
      RespondWithChunk(exchange);
    }
    pending_requests_[chunk].clear();
    if (held_chunks_ == chunk_count_) {
      on_complete_();
    }
    RequestNextChunk();
  }

  daemon::Loop& loop_;
  daemon::HttpClient& client_;
  swarm::Pacer upload_pacer_;
  swarm::Pacer download_pacer_;
  std::string chunk_data_;
  std::size_t held_chunks_;
  std::size_t chunk_count_;
  std::size_t requested_chunks_ = 0;
  std::uint16_t parent_port_ = 0;
  std::function<void()> on_complete_;
  /// Requests for chunks that are not held yet, by chunk number.
  std::vector<std::vector<daemon::HttpExchangePtr>> pending_requests_;
  daemon::HttpServer server_;
};

}  // namespace

std::chrono::duration<double> RunBaseline(const BaselineSpec& spec) {
  daemon::Loop loop;
  daemon::HttpClient client(loop, kIoTimeout);
  const auto chunk_count =
      static_cast<std::size_t>(spec.total_bytes_ / spec.chunk_bytes_);
  Node origin(loop, client, spec.origin_bytes_per_second_, chunk_count,
              spec.chunk_bytes_, true);
  std::vector<std::unique_ptr<Node>> nodes;
  std::size_t complete_nodes = 0;
  for (std::size_t i = 0; i < spec.node_count_; ++i) {
    nodes.push_back(
        std::make_unique<Node>(loop, client, spec.node_bytes_per_second_,
                               chunk_count, spec.chunk_bytes_, false));
  }
  const auto start = loop.Now();
  for (std::size_t i = 0; i < spec.node_count_; ++i) {
    const bool from_origin = i == 0 || !spec.uses_tree_;
    const auto parent_port =
        from_origin ? origin.port() : nodes[(i - 1) / 2]->port();
    nodes[i]->StartFetching(parent_port, [&] {
      if (++complete_nodes == spec.node_count_) {
        loop.Stop();
      }
    });
  }
  loop.Run();
  return loop.Now() - start;
}

}  // namespace chalkwell::bench
