// Processes, requests and messages of the simulation.
#pragma once

#include "fuzz/simulation.hpp"

namespace chalkwell::fuzz {

/// Number of data frames of a complete response.
inline constexpr std::uint64_t kResponseDataFrames = 3;
/// Lease of an agent on its engine; a longer suspension is detected.
inline constexpr auto kAgentLease = std::chrono::seconds(1);
/// How long an entry uses an endpoint without a new report.
inline constexpr auto kRosterLease = std::chrono::seconds(3);
/// Longest time that a graceful shutdown waits for accepted work.
inline constexpr auto kShutdownLimit = std::chrono::seconds(60);
/// How long the published list still names the previous agent process after a
/// new one has started.
inline constexpr auto kInstanceListDelay = std::chrono::seconds(5);
/// Bound on the time within which a draining endpoint stops getting work; an
/// entry may use a third of it from when it learns of the draining.
inline constexpr auto kDrainNoticeBound = std::chrono::seconds(3);

/// @brief One engine; it may outlive its agents.
struct Simulation::Engine {
  /// @brief A request that the engine executes.
  struct Execution {
    std::uint64_t id_ = 0;
    int agent_ = 0;
    std::uint64_t request_ = 0;
    std::uint32_t attempt_ = 0;
    int entry_ = 0;
    /// Weights when the execution started.
    core::Digest weights_;
    /// Sequence number of the next data frame.
    std::uint64_t next_sequence_ = 0;
    /// See Message::discard_frames_.
    bool discard_frames_ = false;
  };

  std::size_t index_ = 0;
  /// Whether orders with stale fencing numbers are refused.
  bool checks_fencing_ = true;
  /// The agent process that was started last, and the one in the published
  /// list.
  int newest_agent_ = 0;
  int listed_agent_ = 0;
  core::TimePoint newest_agent_since_;
  rollout::EngineState state_;
  /// Number of running requests as last reported; may be outdated.
  std::uint64_t reported_load_ = 0;
  core::TimePoint load_reported_at_;
  /// Index and content of each chunk that was really staged, by manifest.
  std::map<core::Digest, std::set<std::string>> staged_chunks_;
  /// Manifests that an agent declared complete; the engine activates no others.
  std::set<core::Digest> sealed_manifests_;
  /// Manifests that were ever activated, also before a restart.
  std::set<core::Digest> activated_manifests_;
  std::vector<Execution> executions_;
};

/// @brief One agent process.
struct Simulation::Agent {
  Agent(const Faults& faults, std::uint64_t incarnation, std::size_t engine,
        std::uint64_t tie_breaker)
      : documents_({PublishedDocuments::Instance().trusted_key()},
                   faults.acceptance_),
        activation_({.lease_ = kAgentLease, .tie_breaker_ = tie_breaker},
                    faults.activation_),
        guard_(core::InstanceId("endpoint-" + std::to_string(engine)),
               incarnation, {.max_issuers_ = 2, .max_cached_responses_ = 2},
               faults.guard_),
        suspension_(kAgentLease),
        shutdown_(kShutdownLimit, faults.shutdown_),
        engine_(engine),
        incarnation_(incarnation) {}

  int id_ = 0;
  config::AcceptedDocuments documents_;
  rollout::Activation activation_;
  routing::ExecutionGuard guard_;
  membership::SuspensionDetector suspension_;
  membership::GracefulShutdown shutdown_;
  /// Present while weights are being fetched.
  std::optional<swarm::Assembly> assembly_;
  rollout::Target fetch_target_;
  /// Index of its engine.
  std::size_t engine_;
  std::uint64_t incarnation_;
  bool alive_ = true;
  bool suspended_ = false;
  /// When the query was sent whose reply is the newest engine state received.
  core::TimePoint engine_state_as_of_;
  bool has_engine_state_ = false;
  bool query_in_flight_ = false;
  core::TimePoint shutdown_began_at_;
};

/// @brief One entry process.
struct Simulation::Entry {
  explicit Entry(const Faults& faults)
      : documents_({PublishedDocuments::Instance().trusted_key()},
                   faults.acceptance_),
        roster_({.lease_ = kRosterLease, .breaker_failures_ = 1000},
                faults.roster_),
        shutdown_(kShutdownLimit, faults.shutdown_) {}

  /// @brief Connection to the agent of an endpoint.
  struct Connection {
    int agent_ = 0;
    std::optional<routing::TicketIssuer> issuer_;
    /// When this entry learned that the endpoint is draining.
    std::optional<core::TimePoint> known_draining_at_;
  };

  int id_ = 0;
  config::AcceptedDocuments documents_;
  membership::ListedEndpoints roster_;
  membership::GracefulShutdown shutdown_;
  bool alive_ = true;
  bool suspended_ = false;
  std::map<core::InstanceId, Connection> connections_;
  /// Indices of the engines that the list, as known here, marks as draining.
  std::set<std::size_t> listed_draining_;
  core::TimePoint shutdown_began_at_;
};

/// @brief One request as its entry and its caller see it.
struct Simulation::Request {
  std::uint64_t id_ = 0;
  /// Identifies the operation that the caller wants executed; a retry by the
  /// caller is a new request for the same operation.
  std::uint64_t operation_ = 0;
  bool repeatable_ = false;
  int entry_ = 0;
  std::unique_ptr<routing::RequestTracker> tracker_;
  std::set<core::InstanceId> tried_endpoints_;
  core::InstanceId endpoint_;
  /// Agent to which the current attempt was sent.
  int agent_ = 0;
  core::Digest pinned_weights_;
  std::optional<routing::ExecutionTicket> ticket_;
  /// Ticket of an earlier request, supplied by the caller.
  std::optional<routing::ExecutionTicket> caller_ticket_;
  std::optional<routing::Outcome> outcome_;
  /// The entry terminated without an outcome for the caller.
  bool lost_ = false;
  /// The caller has retried it.
  bool retried_ = false;
};

/// @brief A message in flight; which members are used depends on its kind.
struct Simulation::Message {
  enum class Kind : std::uint8_t {
    kDocument,
    /// Query for an engine's state.
    kQuery,
    /// Reply to a query.
    kState,
    /// Activation order to an engine.
    kOrder,
    /// Claim of an engine.
    kClaim,
    /// Reply to an order or a claim.
    kOrderReply,
    kChunk,
    /// Report of an agent to an entry.
    kReport,
    /// Attempt of a request, sent from an entry to an agent.
    kRun,
    /// Frame of the response to a run.
    kFrame,
  };
  enum class Frame : std::uint8_t {
    kBegin,
    kData,
    kComplete,
    /// Refused before execution.
    kRefused,
    /// Executed, but failed.
    kFailed,
    /// Whether it was executed is unknown.
    kUnknown,
    /// The stream broke.
    kLost,
  };

  Kind kind_{};
  /// Sending process; 0 for the configuration store.
  int from_ = 0;
  /// Receiving process; an engine is given by `engine_` instead.
  int to_ = 0;
  std::size_t engine_ = 0;
  config::Document document_{};
  rollout::EngineState state_{};
  rollout::Target target_{};
  std::uint64_t fence_ = 0;
  /// When the query was sent.
  core::TimePoint queried_at_{};
  /// Index of the chunk.
  std::size_t chunk_ = 0;
  std::string bytes_{};
  membership::EndpointReport report_{};
  std::uint64_t request_ = 0;
  std::uint32_t attempt_ = 0;
  bool repeatable_ = false;
  std::uint64_t operation_ = 0;
  std::optional<routing::ExecutionTicket> ticket_{};
  /// Weights that a run requires, or that a response uses.
  core::Digest weights_{};
  Frame frame_{};
  /// Sequence number of a data frame.
  std::uint64_t sequence_ = 0;
  std::uint64_t resume_from_ = 0;
  /// A duplicated run has a stream of its own without a receiver: its frames
  /// are discarded.
  bool discard_frames_ = false;
};

}  // namespace chalkwell::fuzz
