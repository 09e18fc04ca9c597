// The descriptions of all settings, in the order of docs/SETTINGS.md.
#include <array>

#include "daemon/settings.hpp"

namespace chalkwell::daemon {
namespace {

using enum UsedBy;
using enum SettingType;

/// Limits of types that are not numbers.
constexpr double kUnused = 0;
constexpr double kDayMs = 86'400'000;
constexpr double kTerabyte = 1e12;

constexpr std::array kTable = std::to_array<SettingDescription>({
    {kAll, "instance", "id", kText, "", false, kUnused, kUnused, "", "name",
     "Name of this instance in the published instance list."},
    {kAll, "instance", "domain", kText, "", false, kUnused, kUnused, "", "name",
     "Failure domain of this instance."},
    {kAll, "listen", "admin", kAddress, "", false, kUnused, kUnused, "",
     "ip:port",
     "Address for operators: /metrics, /healthz, /readyz and /status."},
    {kAll, "listen", "peer", kAddress, "", false, kUnused, kUnused, "",
     "ip:port", "Address for other processes of the system."},
    {kOwnInterface, "listen", "advertised", kAddress, "", true, kUnused,
     kUnused, "", "ip:port",
     "Address of this process in the published instance list, if it differs "
     "from listen.peer (behind a relay or address translation)."},
    {kAnyEntry, "listen", "caller", kAddress, "", false, kUnused, kUnused, "",
     "ip:port", "Address for callers, behind the platform's load balancer."},
    {kDirectEntry, "listen", "ready", kAddress, "", false, kUnused, kUnused, "",
     "ip:port", "Address for the load balancer's readiness probes."},
    {kDirect, "platform", "poll_ms", kReal, "600", false, 50, kDayMs, "", "ms",
     "Interval at which the designated reader of a failure domain reads the "
     "endpoint list; well below platform.leave_bound_ms."},
    {kDirect, "platform", "leave_bound_ms", kReal, "2000", false, 100, kDayMs,
     "", "ms",
     "Time from the store's acknowledgement that an endpoint is leaving until "
     "no request may reach it; set by the platform. An entry reads the "
     "endpoint list itself when its snapshot is older than 0.6 of this."},
    {kDirect, "platform", "renewal_ms", kReal, "1200", false, 10, kDayMs, "",
     "ms",
     "Interval at which an endpoint renews its row in the store; set by the "
     "platform. No outage of the store that is shorter than this ends a "
     "lease."},
    {kDirectEntry, "platform", "first_read_wait_ms", kReal, "0", false, 0,
     60'000, "", "ms",
     "Time for which an entry that is not a seed waits to receive the "
     "published "
     "documents from other entries before it reads the store itself; for the "
     "first start of a deployment, which is not urgent."},
    {kDirect, "mesh", "seeds", kAddresses, "", true, kUnused, kUnused, "",
     "addresses",
     "Processes to contact at the start; only the IP addresses are used."},
    {kDirectEntry, "routing", "region", kPairs, "", true, kUnused, kUnused, "",
     "pairs",
     "Region of a failure domain, as DOMAIN:REGION; one line per domain. A "
     "request whose route or "
     "account restricts regions is sent only to domains listed here."},
    {kDirect, "mesh", "interval_ms", kReal, "1000", false, 50, kDayMs, "", "ms",
     "Interval between gossip rounds."},
    {kDirect, "rollout", "version_bound_ms", kReal, "8000", false, 0, kDayMs,
     "", "ms",
     "Time from the publication of a new target version until no request may "
     "start on an older one; set by the platform. 0 for no limit."},
    {kOwnInterface, "peer", "tls", kChoice, "off", false, kUnused, kUnused,
     "off", "choice",
     "Streams between processes are HTTP/2 without TLS; the key is reserved "
     "for TLS."},
    {kOwnInterface, "peer", "silence_ms", kReal, "3000", false, 100, kDayMs, "",
     "ms",
     "The connection to a peer that sends no byte for this long is closed; "
     "pings are sent three times as often."},
    {kAll, "platform", "address", kAddress, "", false, kUnused, kUnused, "",
     "ip:port", "Address of the configuration store."},
    {kEntry, "platform", "watchers", kNumber, "2", false, 1, 100, "",
     "processes",
     "Entries per failure domain that watch the configuration store; the "
     "others receive changes from them."},
    {kAll, "platform", "watch_wait_ms", kReal, "10000", false, 100, 600000, "",
     "ms",
     "Time for which the configuration store may delay its response to a "
     "watch."},
    {kOwnInterface, "platform", "silence_ms", kReal, "5000", false, 100, kDayMs,
     "", "ms",
     "A process that receives nothing from any peer for this long, plus "
     "jitter, reads the configuration store itself."},
    {kOwnInterface, "bundle", "trusted_keys", kKeys, "", false, kUnused,
     kUnused, "", "public keys",
     "Keys that are trusted until a list of trusted keys is published; "
     "separated by commas."},
    {kAll, "log", "format", kChoice, "text", false, kUnused, kUnused,
     "text|json", "choice", "Format of log lines on standard error."},
    {kAll, "log", "level", kChoice, "info", false, kUnused, kUnused,
     "debug|info|warning|error", "choice", "Lowest severity that is logged."},
    {kAll, "trace", "collector", kAddress, "", true, kUnused, kUnused, "",
     "ip:port",
     "Collector to which spans are sent as OTLP/JSON; without it, no spans "
     "are sent."},
    {kAnyEntry, "process", "memory_mb", kReal, "256", false, 16, 1e6, "", "MB",
     "Memory that the machine gives to this process; set by the platform."},
    {kAnyEntry, "process", "max_descriptors", kNumber, "0", false, 0, 1e7, "",
     "descriptors",
     "Descriptors that this process may open; set by the platform. 0 for the "
     "system's limit (RLIMIT_NOFILE)."},
    {kAll, "stop", "drain_ms", kReal, "120000", false, 0, kDayMs, "", "ms",
     "Longest time for which a graceful shutdown waits for pending work; at "
     "least the longest deadline."},
    {kEntry, "requests", "max_body_bytes", kNumber, "1048576", false, 1,
     1 << 30, "", "bytes",
     "Largest body of a request; larger ones are refused with status 413."},
    {kAnyEntry, "requests", "memory_share", kReal, "0.5", false, 0.01, 0.9, "",
     "share",
     "Share of process.memory_mb that callers' requests, and responses not yet "
     "sent, may hold together. A request beyond it is refused with status 503; "
     "a quarter of it is left to requests of up to 64 KiB, and one request of "
     "the largest size is always accepted while no other large one is held."},
    {kAnyEntry, "requests", "connection_share", kReal, "0.4", false, 0.01, 0.9,
     "", "share",
     "Share of process.max_descriptors that callers' connections may use. "
     "Beyond it the connection that has been idle for longest is closed; if "
     "all are in use, a new one is refused with status 503. The rest is left "
     "to "
     "endpoints, the store, peers and files."},
    {kEntry, "requests", "default_deadline_ms", kReal, "60000", false, 1,
     kDayMs, "", "ms", "Deadline of a request without one."},
    {kEntry, "requests", "max_deadline_ms", kReal, "120000", false, 1, kDayMs,
     "", "ms", "Longest deadline; longer ones are reduced to it."},
    {kEntry, "requests", "max_in_flight", kNumber, "256", false, 1, 100000, "",
     "requests", "Requests of this entry that may be in flight at endpoints."},
    {kEntry, "requests", "max_waiting", kNumber, "256", false, 1, 100000, "",
     "requests",
     "Requests of one account that may wait in a queue of this entry."},
    {kEntry, "requests", "max_attempts", kNumber, "4", false, 1, 20, "",
     "attempts", "Maximum attempts of one request, each at another endpoint."},
    {kAnyEntry, "requests", "retry_share", kReal, "0.1", false, 0, 100, "",
     "share",
     "Retries of a service as a share of its requests, so that failures do "
     "not multiply the load."},
    {kAnyEntry, "requests", "retry_reserve", kReal, "20", false, 0, 1e9, "",
     "retries",
     "Retries of a service in 10 s beyond that share, by this entry, or by all "
     "entries together if an adapter is used; part of them is reserved for "
     "responses that have already started."},
    {kEntry, "requests", "retry_after_ms", kReal, "1000", false, 1, kDayMs, "",
     "ms",
     "Least value of Retry-After, also used when no wait can be estimated."},
    {kEntry, "routing", "affinity_bound", kNumber, "125", false, 100, 1000, "",
     "percent",
     "The preferred endpoint of a prompt prefix is used while its load is "
     "within this percentage of the mean."},
    {kEntry, "routing", "attach", kNumber, "64", false, 1, 10000, "",
     "endpoints",
     "Endpoints per role in the local failure domain to which an entry keeps "
     "streams open."},
    {kEntry, "routing", "attach_foreign", kNumber, "16", false, 0, 10000, "",
     "endpoints",
     "Endpoints per role in other failure domains to which an entry keeps "
     "streams open."},
    {kAnyAgent, "endpoint", "backend", kAddress, "", false, kUnused, kUnused,
     "", "ip:port",
     "Address of the backend that this agent manages: a model engine or a "
     "plain service."},
    {kAgent, "endpoint", "kind", kChoice, "engine", false, kUnused, kUnused,
     "engine|service", "choice", "Kind of the backend."},
    {kAnyAgent, "endpoint", "role", kText, "", false, kUnused, kUnused, "",
     "name", "Role of the endpoint; routes and bundles refer to roles."},
    {kDirectAgent, "endpoint", "facts_wait_ms", kReal, "120", false, 0, kDayMs,
     "", "ms",
     "Time for which a starting agent waits to learn of an entry before it "
     "reads the rules from the store itself, once."},
    {kAgent, "endpoint", "capacity", kNumber, "32", false, 1, 100000, "",
     "requests",
     "Requests that the backend runs concurrently; more are refused."},
    {kAgent, "endpoint", "max_body_bytes", kNumber, "4194304", false, 1,
     1 << 30, "", "bytes", "Largest message a peer may send."},
    {kAgent, "weights", "store", kAddress, "", true, kUnused, kUnused, "",
     "ip:port",
     "Address of the weight store, which is tried before the origin."},
    {kAgent, "weights", "origin", kAddress, "", false, kUnused, kUnused, "",
     "ip:port", "Address of the origin of weights."},
    {kAgent, "weights", "link_bytes_per_second", kNumber, "0", false, 0,
     kTerabyte, "", "bytes/s",
     "Rate of this machine's link, which weights and responses share; 0 for "
     "no limit."},
    {kDirectAgent, "weights", "link_mbps", kReal, "0", false, 0, 1e6, "",
     "Mbit/s",
     "Rate of this machine's link, of which chunks use a share; 0 for no "
     "limit."},
    {kAgent, "weights", "memory_bytes", kNumber, "268435456", false, 1 << 20,
     kTerabyte, "", "bytes", "Memory for chunks that are kept for peers."},
    {kAgent, "weights", "origin_copies", kNumber, "1", false, 1, 4, "",
     "copies",
     "Agents that may fetch each chunk from the origin: 1 minimizes the bytes "
     "read from the origin, 3 the time until new weights are live."},
    {kAgent, "weights", "draw_silence_ms", kReal, "2000", false, 10, kDayMs, "",
     "ms",
     "The agent next in rank fetches from the origin when no new chunk has "
     "appeared for this long."},
    {kAgent, "weights", "chunk_timeout_ms", kReal, "5000", false, 10, kDayMs,
     "", "ms", "Timeout of a chunk request."},
    {kAgent, "weights", "in_flight", kNumber, "8", false, 1, 1000, "",
     "requests", "Chunk requests in flight to all peers."},
    {kAgent, "weights", "per_peer", kNumber, "2", false, 1, 100, "", "requests",
     "Chunk requests in flight to one peer."},
    {kAgent, "weights", "neighbours", kNumber, "8", false, 1, 1000, "", "peers",
     "Peers in the local failure domain with which an agent exchanges chunks."},
    {kAgent, "weights", "neighbours_foreign", kNumber, "4", false, 0, 1000, "",
     "peers",
     "Peers in other failure domains with which an agent exchanges chunks."},
    {kAgent, "rollout", "max_out_share", kReal, "0.34", false, 0, 1, "",
     "share",
     "Share of a role's endpoints in a failure domain that may switch at "
     "once."},
    {kAgent, "rollout", "turn_lease_ms", kReal, "10000", false, 10, kDayMs, "",
     "ms",
     "Endpoints earlier in the rollout order that make no progress for this "
     "long are skipped."},
    {kAgent, "rollout", "pause_lease_ms", kReal, "1500", false, 500, kDayMs, "",
     "ms",
     "Time for which a report of the engine is valid. An agent that was "
     "suspended for this long reads the engine and the configuration again "
     "before it acts."},
});

}  // namespace

std::span<const SettingDescription> SettingsTable() noexcept { return kTable; }

}  // namespace chalkwell::daemon
