// State of each endpoint as known to an entry (the process that takes callers'
// requests and routes them), from three sources of different ages: the
// published list of endpoints, load reports and the entry's own requests.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "chalkwell/config/traffic_rules.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/core/store_revision.hpp"
#include "chalkwell/routing/data_residency.hpp"
#include "chalkwell/routing/endpoint_incarnation.hpp"
#include "chalkwell/routing/endpoint_rate_limits.hpp"
#include "chalkwell/routing/endpoint_retry_times.hpp"
#include "chalkwell/routing/fwd.hpp"
#include "chalkwell/routing/incarnation_table.hpp"
#include "chalkwell/routing/rate_limit_senders.hpp"
#include "chalkwell/routing/slow_start.hpp"

namespace chalkwell::routing {

/// @brief One row of the published list of endpoints. Each row has a lease in
/// the configuration store.
struct EndpointRow {
  /// Id of the endpoint, which may restart under the same id.
  core::InstanceId id_;
  /// Identifies the incarnation, together with the id; none if unknown.
  std::optional<core::StartTime> started_;
  std::string service_;
  /// "ip:port".
  std::string address_;
  core::FailureDomainId domain_;
  /// Concurrent requests that the endpoint serves.
  std::uint32_t slots_ = 1;
  /// Whether the endpoint is draining: it accepts no new requests.
  bool leaving_ = false;
  /// Version of the weights that all layers of the engine's model have; none
  /// while the engine cannot serve yet and for services without weights.
  std::optional<std::uint64_t> weights_version_;
  /// Remaining time of its slow start when the endpoint wrote the row; none if
  /// it does not state it.
  std::optional<core::Duration> slow_start_left_;
  /// List revision at which the row was created; none if unknown.
  core::StoreRevision created_revision_;

  [[nodiscard]] EndpointIncarnation incarnation() const {
    return {id_, started_};
  }
  friend bool operator==(const EndpointRow&, const EndpointRow&) = default;
};

/// @brief Difference between two revisions of the published list.
struct EndpointListChange {
  /// Revisions of the list; the change applies to lists of `from_` or later.
  core::StoreRevision from_;
  core::StoreRevision to_;
  /// Rows that were added or changed.
  std::vector<EndpointRow> rows_;
  std::vector<core::InstanceId> removed_;
  /// The rows are the full list: rows that it lacks are removed, including
  /// ones that the sender never had.
  bool full_ = false;
  /// False if leases may have lapsed during a store outage, so that missing
  /// rows do not imply removal.
  bool complete_ = true;
  /// The list includes everything published before this time, by the clock of
  /// the process that holds the change.
  core::TimePoint as_of_;
};

/// @brief Load report of an endpoint.
struct LoadReport {
  /// Running and waiting requests of all entries.
  std::uint32_t active_ = 0;
  std::uint32_t queued_ = 0;
  /// False while it loads weights and accepts no new requests.
  bool accepting_ = true;
  /// It states that it is draining.
  bool leaving_ = false;
  std::optional<std::uint64_t> weights_version_;
  /// Duration of a step relative to the profile; above 1 the engine is slower.
  double slowdown_ = 1;
  /// Delay that its network path adds, summed over both directions.
  core::Duration path_delay_{};
  /// Entries that receive its reports, because their subset contains it; 0 if
  /// not reported.
  std::uint32_t subscribers_ = 0;
  /// Id of the reporting endpoint; empty if unknown.
  core::InstanceId incarnation_;
  /// Start time of the reporting incarnation; none if unknown.
  std::optional<core::StartTime> started_;
};

/// @brief Settings of EndpointTable.
struct EndpointTableSettings {
  /// Failure domain of this entry.
  core::FailureDomainId domain_;
  /// Id of this entry, which determines its subset; empty to use all endpoints.
  core::InstanceId entry_;
  /// Older reports are not recent: their load is only a lower bound, their path
  /// delay is ignored and `unreported_cost_` is added. `accepting_` and
  /// `slowdown_` still apply.
  core::Duration max_report_age_ = std::chrono::milliseconds(1500);
  /// Cost of an engine without a recent report, which may have terminated, be
  /// suspended or be behind a degraded link.
  core::Duration unreported_cost_ = std::chrono::milliseconds(200);
  /// An endpoint that sent nothing for this long, while others did, is
  /// considered suspended or partitioned and expected to remain so for as long
  /// again as it has been silent. Agents report at least every 500 ms. Without
  /// this rule, an engine on a suspended machine appears to become idle.
  core::Duration unresponsive_after_ = std::chrono::milliseconds(700);
  /// Minimum time until a request starts that the check of the version
  /// constraint assumes if the start can't be predicted: the request is late
  /// (see ChoiceRequest) and also waits for on-time requests that arrive after
  /// it, or the last report is older than `max_link_report_age_`, so that the
  /// link may delay the request by more than a second.
  core::Duration min_unpredicted_start_delay_ = std::chrono::milliseconds(2500);
  /// If the last report is older than this, the link may be degraded: agents
  /// report at least every 500 ms, and a degraded link drops their datagrams.
  core::Duration max_link_report_age_ = std::chrono::milliseconds(700);
  /// Added to the cost of remote endpoints: the minimum gain that justifies
  /// traffic between failure domains.
  core::Duration remote_cost_ = std::chrono::milliseconds(40);
  /// A row missing from an incomplete list is kept this long, in case its lease
  /// lapsed during an outage of the configuration store.
  core::Duration missing_row_grace_ = std::chrono::milliseconds(2500);
  /// An announced row is kept this long without being listed. Endpoints publish
  /// themselves when they start, and the list is read every 600 ms.
  core::Duration announced_grace_ = std::chrono::milliseconds(2500);
  /// Time from the announcement of a live endpoint until the store lists it. A
  /// complete list requested at least this long after the announcement ends the
  /// grace period if it lacks the endpoint.
  core::Duration max_publish_delay_ = std::chrono::milliseconds(300);
  /// A removed row that is listed again within this time after the store
  /// returned from an older copy is not used until then: unless its endpoint
  /// renews it, its lease expires meanwhile. A lease is 3.6 s; the rest is one
  /// read of the list.
  core::Duration restored_row_hold_ = std::chrono::milliseconds(4200);
  /// Half-life of recorded failures and delays.
  core::Duration failure_half_life_ = std::chrono::seconds(3);
  /// A wait for a first byte beyond this indicates that the endpoint or its
  /// path has stalled; the time beyond it counts as delay of the endpoint.
  core::Duration overdue_after_ = std::chrono::milliseconds(400);
  /// Cost of an endpoint that fails every request; scaled by the failure rate.
  core::Duration failure_cost_ = std::chrono::seconds(3);
};

/// @brief Faults that tests inject to show that their checks detect them; all
/// off in production.
struct EndpointTableFaults {
  bool ignore_allowed_domains_ = false;
  bool ignore_evacuations_ = false;
  bool ignore_slow_start_ = false;
  bool ignore_rate_limits_ = false;
  bool ignore_retry_times_ = false;
  /// Compares revisions by their number alone.
  bool ignore_era_ = false;
  bool accept_older_era_ = false;
};

/// @brief An endpoint chosen for a request, with its predicted response time.
struct EndpointChoice {
  EndpointRow row_;
  /// Predicted time to the first byte of the response.
  core::Duration time_to_first_byte_{};
  /// Running and queued requests ahead of this one.
  std::uint32_t requests_ahead_ = 0;
  /// Age of the last load report, recent or not, and whether there is one; for
  /// the log.
  core::Duration report_age_{};
  bool reported_ = false;
  /// Requests per second that the endpoint accepts from all entries together;
  /// none if it stated no limit.
  std::optional<double> rate_limit_;
  /// Number of candidates that were skipped because their slow start, their
  /// rate limit or their last refusal allows no request of this entry yet.
  std::size_t deferred_ = 0;
};

/// @brief Versions of the weights that a request may start on.
struct VersionConstraint {
  /// Older versions are not used; 0 for no limit.
  std::uint64_t min_version_ = 0;
  /// Older versions are not used from `next_min_at_` on.
  std::uint64_t next_min_version_ = 0;
  core::TimePoint next_min_at_;
};

/// @brief Constraints on the endpoint of a request.
struct ChoiceRequest {
  std::string service_;
  /// Profile of the engines; null for a service without weights.
  const config::EngineProfile* engine_ = nullptr;
  double prompt_tokens_ = 0;
  /// False for late requests (see stream_admission.hpp), which engines serve
  /// after those on time.
  bool on_time_ = true;
  /// Version of the weights that must generate the response; none for any.
  std::optional<std::uint64_t> weights_version_;
  VersionConstraint version_constraint_;
  /// Limit of this entry's requests in flight at one endpoint; 0 for no limit.
  /// Each request has a connection, and all entries share the connections that
  /// an endpoint accepts.
  std::uint32_t max_in_flight_ = 0;
  /// Endpoints of earlier attempts, which are not chosen again.
  std::vector<core::InstanceId> tried_;
  /// Failure domains in which the request may be processed.
  AllowedDomains allowed_domains_;
};

/// @brief How a request at an endpoint ended.
enum class EndpointOutcome : std::uint8_t {
  kAnswered,
  /// Refused without running: at capacity, or not the expected incarnation.
  kRefused,
  /// Failed, was interrupted or timed out.
  kFailed,
  /// Abandoned by the entry for a reason unrelated to the endpoint.
  kCancelled,
};

/// @brief Endpoints by id, with the state of their current incarnation.
class EndpointTable {
 public:
  EndpointTable(EndpointTableSettings settings, std::uint64_t seed,
                EndpointTableFaults faults = {});

  /// @brief Applies the full published list.
  /// @param revision revision of the list; lists older than the known one are
  /// ignored. The first list of a newer era replaces the known one, except that
  /// draining endpoints remain so and removed ones are not used for a while.
  /// @param complete false if leases may have lapsed during a store outage:
  /// missing rows are kept for the grace period.
  /// @param as_of the list includes everything published before this time; the
  /// clock's epoch if unknown.
  /// @return whether the list was used.
  bool ApplyList(std::vector<EndpointRow> rows, core::StoreRevision revision,
                 bool complete, core::TimePoint now,
                 core::TimePoint as_of = {});
  /// @brief Applies a change to the list, published by another process.
  /// @return false if the change starts after the known revision, so that the
  /// list must be read.
  bool ApplyChange(const EndpointListChange& change, core::TimePoint now);
  /// @brief Records that the known list includes everything published before
  /// `as_of`, because a list of this era with the same or a lower revision was
  /// current then. A list of another era confirms nothing.
  /// @param revision of the list that was current at `as_of`.
  void ConfirmAsOf(const core::StoreRevision& revision,
                   core::TimePoint as_of) noexcept;
  /// @brief Applies an incarnation announced by its agent, which may not be
  /// listed yet.
  /// @param row row without a weights version, which load reports supply.
  void ApplyAnnouncement(EndpointRow row, core::TimePoint now);
  /// @brief Like ApplyAnnouncement, for an agent that announced no row: the
  /// rest of the row is copied from the endpoint known at the address. Ignored
  /// if there is none.
  void ApplyAnnouncementAt(const std::string& address,
                           const EndpointIncarnation& incarnation,
                           core::TimePoint now);
  /// @brief Applies a load report of the endpoint at an address; ignored if
  /// older than the last one. A report with another start time shows that its
  /// incarnation is the current one.
  /// @return whether it shows for the first time that the endpoint is leaving.
  bool ApplyReport(const std::string& address, const LoadReport& report,
                   core::TimePoint reported_at);
  /// @brief Records that an incarnation announced that it is draining.
  /// @return whether it was not known to be leaving or removed.
  bool MarkLeaving(const EndpointIncarnation& incarnation);
  /// @brief Removes an incarnation that has terminated.
  void MarkTerminated(const EndpointIncarnation& incarnation);
  /// @brief Records that another incarnation responded at the endpoint's
  /// address.
  /// @param current id of the incarnation that responded.
  void MarkReplaced(const core::InstanceId& id,
                    const core::InstanceId& current);
  /// @brief Records the weights version that the endpoint announced; none if it
  /// can't serve.
  void MarkVersion(const core::InstanceId& id,
                   std::optional<std::uint64_t> version);

  /// @brief Sets the rates that endpoints bear after a start, by service.
  void SetSlowStarts(std::map<std::string, config::SlowStart> limits) {
    slow_starts_ = std::move(limits);
  }
  /// @brief Sets the number of entries that share the endpoints.
  /// @param known false while this entry may not know all of them.
  void SetEntryCount(std::size_t entries, bool known) noexcept {
    entries_ = entries;
    entries_known_ = known;
  }
  /// @brief The entries among which a rate limit is shared.
  [[nodiscard]] RateLimitSenders& rate_limit_senders() noexcept {
    return rate_limit_senders_;
  }
  /// @brief Sets the evacuated failure domains, whose endpoints get no further
  /// request. Endpoints of a domain that is no longer evacuated begin a slow
  /// start, since they may have been restarted meanwhile.
  void SetEvacuated(std::set<core::FailureDomainId> domains,
                    core::TimePoint now);

  /// @brief Records that a request was sent.
  /// @param on_time on_time_ of its ChoiceRequest.
  void OnSent(const core::InstanceId& id, double prompt_tokens,
              core::TimePoint now, bool on_time = true);
  /// @brief Records that response data arrived, so the endpoint has not
  /// stalled.
  void OnProgress(const core::InstanceId& id, core::TimePoint now);
  /// @brief Records the first byte of a response.
  /// @param sent_at time passed to OnSent.
  /// @param predicted time to first byte predicted by the choice.
  void OnFirstByte(const core::InstanceId& id, double prompt_tokens,
                   core::TimePoint sent_at, core::Duration predicted,
                   core::TimePoint now);
  /// @brief A request has been waiting for its endpoint for longer than
  /// expected, which counts as a failure; it remains in flight.
  /// @param sent_at time passed to OnSent.
  void OnSilent(const core::InstanceId& id, core::TimePoint sent_at,
                core::TimePoint now);
  /// @brief Records the end of a request.
  /// @param first_byte_received whether the first byte had arrived.
  void OnEnded(const core::InstanceId& id, double prompt_tokens,
               core::TimePoint sent_at, bool first_byte_received,
               EndpointOutcome outcome, core::TimePoint now);

  /// @brief Chooses an endpoint for a request by predicted cost, from the
  /// subset if any endpoint there is usable.
  /// @return none if no known endpoint is usable.
  [[nodiscard]] std::optional<EndpointChoice> Choose(
      const ChoiceRequest& request, core::TimePoint now);
  /// @brief Time until an endpoint may get a request for which Choose() found
  /// none; none if no endpoint is only prevented by its slow start, its rate
  /// limit or its last refusal.
  [[nodiscard]] std::optional<core::Duration> SendWait(
      const ChoiceRequest& request, core::TimePoint now) const;

  /// @brief Whether an incarnation accepts requests, as far as is known: it is
  /// neither draining nor removed, its failure domain is not evacuated, and no
  /// other one has replaced it.
  [[nodiscard]] bool AcceptsRequests(const EndpointIncarnation& incarnation,
                                     core::TimePoint now) const;

  /// @brief Whether another incarnation is known to serve at the address,
  /// although this one was neither draining nor removed: its end was not
  /// planned.
  [[nodiscard]] bool IsReplaced(const std::string& address,
                                const EndpointIncarnation& incarnation) const;
  /// @brief Whether an incarnation announced that it is draining, or its row
  /// was removed: its end is planned.
  [[nodiscard]] bool IsLeavingOrRemoved(
      const EndpointIncarnation& incarnation) const;

  /// @brief The subset of endpoints that this entry uses and requests load
  /// reports from.
  [[nodiscard]] std::vector<EndpointRow> Subset();

  /// @brief The rate limits that endpoints stated in their responses.
  [[nodiscard]] EndpointRateLimits& rate_limits() noexcept {
    return rate_limits_;
  }
  [[nodiscard]] const EndpointRateLimits& rate_limits() const noexcept {
    return rate_limits_;
  }

  /// @brief When endpoints that refused a request accept the next one.
  [[nodiscard]] EndpointRetryTimes& retry_times() noexcept {
    return retry_times_;
  }
  [[nodiscard]] const EndpointRetryTimes& retry_times() const noexcept {
    return retry_times_;
  }

  /// @brief Whether an endpoint is unresponsive while others send reports.
  [[nodiscard]] bool IsUnresponsive(const core::InstanceId& id) const;

  [[nodiscard]] std::size_t size() const noexcept { return endpoints_.size(); }
  /// @brief Revision of the known list; none until a list was received.
  [[nodiscard]] core::StoreRevision store_revision() const noexcept {
    return revision_;
  }
  /// @brief Number of that revision, for logs and status pages.
  [[nodiscard]] std::uint64_t revision() const noexcept {
    return revision_.number_;
  }
  [[nodiscard]] bool has_list() const noexcept { return revision_.known(); }
  /// @brief The known list includes everything published before this time; the
  /// clock's epoch until a list was received.
  [[nodiscard]] core::TimePoint as_of() const noexcept { return as_of_; }
  /// @brief Estimated requests at an endpoint; 0 for an unknown endpoint.
  [[nodiscard]] std::uint32_t LoadOf(const core::InstanceId& id,
                                     core::TimePoint now) const;
  /// @brief All known rows, for status pages and peers.
  [[nodiscard]] std::vector<EndpointRow> Rows() const;
  /// @brief The rows of the list, without endpoints that were only announced.
  [[nodiscard]] std::vector<EndpointRow> ListedRows() const;
  /// @brief Newest weights version that any endpoint of a service holds; 0 for
  /// none.
  [[nodiscard]] std::uint64_t NewestVersion(const std::string& service) const;

 private:
  struct Endpoint {
    EndpointRow row_;
    /// Whether it belongs to the subset that this entry uses.
    bool in_subset_ = false;
    /// See SubsetScore; 0 until it is computed.
    std::uint64_t subset_score_ = 0;
    std::optional<LoadReport> report_;
    core::TimePoint reported_at_;
    /// Time of the last report or response data.
    core::TimePoint last_seen_;
    /// Weights version reported by the endpoint itself, if `version_reported_`;
    /// takes precedence over the published row.
    std::optional<std::uint64_t> reported_version_;
    bool version_reported_ = false;
    /// Send times of this entry's requests in flight to this incarnation.
    /// Requests to earlier ones are not included, and their ends have no effect
    /// here.
    std::vector<core::TimePoint> in_flight_sent_at_;
    /// Those of them that were sent after the last report.
    std::vector<core::TimePoint> sent_since_report_;
    /// Prompt tokens of this entry's on-time requests that await their first
    /// byte, and the send times of those requests.
    double pending_prefill_tokens_ = 0;
    std::vector<core::TimePoint> awaiting_first_byte_;
    /// Send times of late requests that await their first byte.
    std::vector<core::TimePoint> late_awaiting_first_byte_;
    /// Decaying mean of the delay of first bytes beyond the prediction, as of
    /// `excess_delay_updated_`.
    core::Duration excess_delay_{};
    core::TimePoint excess_delay_updated_;
    /// Decaying failure rate, 0 to 1, as of `failure_rate_updated_`.
    double failure_rate_ = 0;
    core::TimePoint failure_rate_updated_;
    /// Exponentially smoothed time to first byte; used for services without
    /// weights only.
    core::Duration mean_wait_{};
    std::optional<core::TimePoint> missing_since_;
    /// A removed row that the store's older copy contains is not used before.
    core::TimePoint held_until_;
    SlowStartState slow_start_;
    /// Send times of this entry's last requests, newest last; at most
    /// kMaxShareRequests.
    std::deque<core::TimePoint> last_sent_at_;
    /// When its agent announced it, and until when it need not be listed.
    core::TimePoint announced_at_;
    core::TimePoint announced_until_;
    /// Whether the list has a row with its id.
    bool listed_ = false;
    /// Start times of earlier incarnations of this id, newest last; at most
    /// kMaxPreviousStarts. Their rows are ignored.
    std::deque<core::StartTime> previous_starts_;

    [[nodiscard]] std::uint32_t in_flight() const noexcept {
      return static_cast<std::uint32_t>(in_flight_sent_at_.size());
    }
    [[nodiscard]] bool IsPreviousStart(
        const std::optional<core::StartTime>& started) const;

    [[nodiscard]] std::optional<std::uint64_t> version() const noexcept {
      return version_reported_ ? reported_version_ : row_.weights_version_;
    }
  };

  /// @brief Endpoints to choose from.
  enum class Candidates : std::uint8_t { kSubset, kOthers, kAll };

  /// @brief Prediction for a request at an endpoint.
  struct Prediction {
    core::Duration time_to_first_byte_{};
    std::uint32_t requests_ahead_ = 0;
  };

  /// @brief Best usable endpoint of the local failure domain, or of the remote
  /// ones.
  struct Selection {
    const Endpoint* best_ = nullptr;
    Prediction prediction_;
    /// Cost of the best endpoint including its random part, in milliseconds.
    double randomized_cost_ = std::numeric_limits<double>::infinity();
    /// Lowest cost of any endpoint without the random part, in milliseconds.
    double min_cost_ = std::numeric_limits<double>::infinity();
  };

  [[nodiscard]] Endpoint* Find(const core::InstanceId& id);
  /// @brief Whether the endpoint may get a request, apart from its slow start,
  /// its rate limit and what it asked for in a refusal.
  [[nodiscard]] bool IsUsable(const Endpoint& endpoint,
                              const ChoiceRequest& request,
                              core::TimePoint now) const;
  /// @brief When the endpoint may get a request of this entry with regard to
  /// its slow start, its rate limit and what it asked for in a refusal; the
  /// clock's epoch if none of them applies.
  [[nodiscard]] core::TimePoint NextSend(const Endpoint& endpoint,
                                         core::TimePoint now) const;
  /// @brief NextSend() with regard to its rate limit only. If only other
  /// entries send to the endpoint, it is the time of their next request.
  /// @brief When this entry, which is no sender, may send to an endpoint whose
  /// limit expired: once until a response states or lifts the limit.
  [[nodiscard]] core::TimePoint NextSendAfterExpiry(
      const Endpoint& endpoint, const ExpiredRateLimit& expired) const;
  [[nodiscard]] core::TimePoint NextRateLimitedSend(const Endpoint& endpoint,
                                                    core::TimePoint now) const;
  /// @brief NextSend() with regard to its slow start only.
  [[nodiscard]] core::TimePoint NextSlowStartSend(const Endpoint& endpoint,
                                                  core::TimePoint now) const;
  /// @brief Limit of a service; null if its endpoints have none.
  [[nodiscard]] const config::SlowStart* SlowStartOf(
      const std::string& service) const;
  /// @brief Begins the slow start of an incarnation whose state is not known.
  void BeginSlowStart(Endpoint& endpoint, core::TimePoint now) const;
  /// @brief Applies what the endpoint itself states in its row.
  /// @param known what its previous row stated; none if this is the first row
  /// of the incarnation.
  void ApplySlowStart(Endpoint& endpoint, const EndpointRow* known,
                      core::TimePoint now) const;
  /// @brief Whether the endpoint's row has been missing beyond its grace
  /// period.
  [[nodiscard]] static bool IsExpired(const Endpoint& endpoint,
                                      core::Duration grace,
                                      core::TimePoint now);
  /// @brief Running and queued requests of all entries at the endpoint.
  [[nodiscard]] std::uint32_t EstimatedLoad(const Endpoint& endpoint,
                                            core::TimePoint now) const;
  /// @brief Fraction of late requests among those waiting at endpoints, 0 to 1.
  /// Estimated from this entry's requests, as every entry sends the same mix.
  [[nodiscard]] double LateShare() const;
  /// @brief Requests scheduled before a new one: the running ones and the
  /// queued ones except for the fraction `late_share`; all of them if there is
  /// no recent report.
  [[nodiscard]] std::uint32_t RequestsAhead(const Endpoint& endpoint,
                                            double late_share,
                                            core::TimePoint now) const;
  /// @brief Predicted time to first byte, without PathOrStallDelay.
  [[nodiscard]] core::Duration TimeToFirstByte(
      const Endpoint& endpoint, const ChoiceRequest& request,
      std::uint32_t requests_ahead) const;
  [[nodiscard]] core::Duration ExcessDelayAt(const Endpoint& endpoint,
                                             core::TimePoint now) const;
  /// @brief Removes a request from those that await their first byte.
  /// @return whether it was on time.
  static bool RemoveAwaiting(Endpoint& endpoint, double prompt_tokens,
                             core::TimePoint sent_at);
  /// @brief Adds an outcome to the failure rate.
  void RecordOutcome(Endpoint& endpoint, bool failed,
                     core::TimePoint now) const;
  [[nodiscard]] double FailureRateAt(const Endpoint& endpoint,
                                     core::TimePoint now) const;
  [[nodiscard]] bool HasRecentReport(const Endpoint& endpoint,
                                     core::TimePoint now) const;
  /// @brief Whether the weights would no longer be usable when the request
  /// starts.
  [[nodiscard]] bool WeightsTooOld(const Endpoint& endpoint,
                                   const ChoiceRequest& request,
                                   core::Duration time_to_first_byte,
                                   core::TimePoint now) const;
  /// @brief The largest of the excess delay of first bytes, the time for which
  /// the endpoint is unresponsive and, if recent, the reported path delay.
  [[nodiscard]] core::Duration PathOrStallDelay(const Endpoint& endpoint,
                                                core::TimePoint now) const;
  /// @brief Time since the endpoint was last seen while others sent reports;
  /// zero up to `unresponsive_after_` and for endpoints that sent no report.
  [[nodiscard]] core::Duration UnresponsiveTime(const Endpoint& endpoint) const;
  /// @brief Cost of a request at an endpoint, in milliseconds.
  [[nodiscard]] double Cost(const Endpoint& endpoint,
                            const ChoiceRequest& request,
                            const Prediction& prediction,
                            core::TimePoint now) const;
  [[nodiscard]] std::optional<EndpointChoice> ChooseFrom(
      const ChoiceRequest& request, Candidates candidates, core::TimePoint now);
  void UpdateSubset();
  [[nodiscard]] std::vector<core::InstanceId> SelectSubset(
      const std::string& service);
  /// @brief Resets the state that belongs to one incarnation, because another
  /// one begins.
  void BeginIncarnation(Endpoint& endpoint, EndpointRow row,
                        core::TimePoint now);
  void RememberDraining(const EndpointIncarnation& incarnation);
  [[nodiscard]] bool HasAnnouncedDraining(
      const EndpointIncarnation& incarnation) const;
  /// @brief Whether a list or change leads to a state older than the known one.
  [[nodiscard]] bool IsOlder(const core::StoreRevision& revision) const;
  /// @brief Whether a change that begins at `from` and ends in the era of `to`
  /// applies to the known list.
  [[nodiscard]] bool Continues(const core::StoreRevision& from,
                               const core::StoreRevision& to) const;
  /// @brief A list of another era replaces the known one.
  void OnStoreReturned(core::TimePoint now);
  void ApplyRow(EndpointRow row, core::TimePoint now);
  void EraseMissing(core::Duration grace, core::TimePoint now);
  /// @brief Erases announced endpoints that would be listed by now if they had
  /// not terminated.
  /// @param as_of time at which the list was requested from the store.
  void EraseUnlisted(core::TimePoint as_of);
  void Erase(const std::vector<core::InstanceId>& ids);
  void Erase(const core::InstanceId& id);

  [[nodiscard]] bool IsEvacuated(const core::FailureDomainId& domain) const {
    return evacuated_.contains(domain) && !faults_.ignore_evacuations_;
  }

  EndpointTableSettings settings_;
  std::mt19937_64 random_;
  EndpointTableFaults faults_;
  std::map<core::InstanceId, Endpoint> endpoints_;
  IncarnationTable incarnations_;
  EndpointRateLimits rate_limits_;
  RateLimitSenders rate_limit_senders_;
  EndpointRetryTimes retry_times_;
  /// Incarnations removed from the list, newest last; at most kMaxRemembered.
  /// An agent that still announces one does not add it again.
  std::deque<EndpointIncarnation> removed_;
  /// Incarnations that announced that they are draining, newest last; at most
  /// kMaxRemembered. Kept apart from the rows, because early or delayed
  /// messages of another incarnation may replace a row for a while.
  std::deque<EndpointIncarnation> draining_;
  /// Revision of the known list; never decreases.
  core::StoreRevision revision_;
  /// Never decreases within an era.
  core::TimePoint as_of_;
  /// Removed rows that are listed again before this time are held.
  core::TimePoint hold_restored_until_;
  /// Time of the newest report of any endpoint.
  core::TimePoint latest_report_;
  std::set<core::FailureDomainId> evacuated_;
  /// By service.
  std::map<std::string, config::SlowStart> slow_starts_;
  std::size_t entries_ = 1;
  bool entries_known_ = true;
  /// Endpoints from which the subset was selected, by service.
  std::map<std::string, std::size_t> candidate_counts_;
  /// Whether inputs of the subset have changed since it was selected.
  bool subset_outdated_ = false;
};

}  // namespace chalkwell::routing
