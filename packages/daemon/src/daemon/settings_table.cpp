// The table of settings.
#include <array>

#include "daemon/settings.hpp"

namespace chalkwell::daemon {
namespace {

using enum UsedBy;
using enum SettingType;

constexpr double kAny = 0;
constexpr double kDay = 86'400'000;
constexpr double kTera = 1e12;

constexpr std::array kTable = std::to_array<SettingDescription>({
    {kAll, "instance", "id", kText, "", false, kAny, kAny, "", "name",
     "Name of this instance in the published list."},
    {kAll, "instance", "domain", kText, "", false, kAny, kAny, "", "name",
     "Failure domain this instance stands in."},
    {kAll, "listen", "admin", kAddress, "", false, kAny, kAny, "", "ip:port",
     "Listener for /metrics, /healthz, /readyz and /status."},
    {kAll, "listen", "peer", kAddress, "", false, kAny, kAny, "", "ip:port",
     "Listener for other processes of the system."},
    {kBoth, "listen", "advertised", kAddress, "", true, kAny, kAny, "",
     "ip:port",
     "Address of this process in the published list where it differs from "
     "listen.peer (a relay or translated address)."},
    {kEntries, "listen", "caller", kAddress, "", false, kAny, kAny, "",
     "ip:port", "Listener for callers, behind the platform's balancer."},
    {kDirectEntry, "listen", "ready", kAddress, "", false, kAny, kAny, "",
     "ip:port", "Listener that the balancer probes."},
    {kDirect, "platform", "poll_ms", kReal, "600", false, 50, kDay, "", "ms",
     "Between two reads of the endpoint list by the entry that reads it for "
     "its "
     "failure domain; it must stay well under the time in which a leaving "
     "endpoint may get work."},
    {kDirect, "platform", "leave_bound_ms", kReal, "2000", false, 100, kDay, "",
     "ms",
     "From the store's acknowledgement that an endpoint leaves to the last "
     "request that may reach it; set by the platform. An entry reads the list "
     "itself when what it believes is older than 0.6 of it."},
    {kDirect, "platform", "renewal_ms", kReal, "1200", false, 10, kDay, "",
     "ms",
     "Between two renewals of an endpoint's row in the store, set by the "
     "platform: no shorter outage of the store ends a lease."},
    {kDirect, "mesh", "seeds", kAddresses, "", true, kAny, kAny, "",
     "addresses",
     "Processes that may be known at the start; only their IP numbers count."},
    {kDirect, "mesh", "interval_ms", kReal, "1000", false, 50, kDay, "", "ms",
     "Between two rounds of telling others who lives."},
    {kDirect, "rollout", "version_bound_ms", kReal, "8000", false, 0, kDay, "",
     "ms",
     "From the naming of new weights until no request may begin on older "
     "ones; set by the platform. 0: they may for any time."},
    {kBoth, "peer", "tls", kChoice, "off", false, kAny, kAny, "off", "choice",
     "Streams between processes are plain HTTP/2 today; the key is kept for "
     "TLS."},
    {kBoth, "peer", "silence_ms", kReal, "3000", false, 100, kDay, "", "ms",
     "A peer that sends no byte for this long is taken for dead; pings go out "
     "three times as often."},
    {kAll, "platform", "address", kAddress, "", false, kAny, kAny, "",
     "ip:port", "The configuration service."},
    {kEntry, "platform", "watchers", kNumber, "2", false, 1, 100, "",
     "processes",
     "Entries of a failure domain that hold a watch; the rest learn from "
     "them."},
    {kAll, "platform", "watch_wait_ms", kReal, "10000", false, 100, 600000, "",
     "ms", "How long the service may hold a watch open."},
    {kBoth, "platform", "silence_ms", kReal, "5000", false, 100, kDay, "", "ms",
     "Without a word from any peer for this long a process reads the service "
     "itself, with jitter."},
    {kBoth, "bundle", "trusted_keys", kKeys, "", false, kAny, kAny, "",
     "public keys",
     "Keys whose signatures count until a list of keys is published; separated "
     "by commas."},
    {kAll, "log", "format", kChoice, "text", false, kAny, kAny, "text|json",
     "choice", "Form of log lines on standard error."},
    {kAll, "log", "level", kChoice, "info", false, kAny, kAny,
     "debug|info|warning|error", "choice", "Least severity that is logged."},
    {kAll, "trace", "collector", kAddress, "", true, kAny, kAny, "", "ip:port",
     "Where spans are posted as OTLP/JSON; none when left out."},
    {kAll, "stop", "drain_ms", kReal, "120000", false, 0, kDay, "", "ms",
     "Longest time a planned stop waits for work to finish; at least the "
     "longest deadline."},
    {kEntry, "requests", "max_body_bytes", kNumber, "1048576", false, 1,
     1 << 30, "", "bytes", "Larger bodies are refused with 413."},
    {kEntry, "requests", "default_deadline_ms", kReal, "60000", false, 1, kDay,
     "", "ms", "Deadline of a request that names none."},
    {kEntry, "requests", "max_deadline_ms", kReal, "120000", false, 1, kDay, "",
     "ms", "Longer deadlines are cut to this."},
    {kEntry, "requests", "max_in_flight", kNumber, "256", false, 1, 100000, "",
     "requests", "Requests this entry has at endpoints at once."},
    {kEntry, "requests", "max_waiting", kNumber, "256", false, 1, 100000, "",
     "requests", "Requests of one account that may wait here."},
    {kEntry, "requests", "max_attempts", kNumber, "4", false, 1, 20, "",
     "attempts", "Endpoints tried for one request at most."},
    {kEntries, "requests", "retry_share", kReal, "0.1", false, 0, 100, "",
     "share",
     "Retries as a share of requests, so that failures do not multiply load."},
    {kEntries, "requests", "retry_reserve", kReal, "20", false, 0, 1e9, "",
     "retries",
     "Retries that this entry may make in 10 s beyond that share; half are "
     "kept for answers under way."},
    {kEntry, "requests", "retry_after_ms", kReal, "1000", false, 1, kDay, "",
     "ms", "What Retry-After says when nothing better is known."},
    {kEntry, "routing", "affinity_bound", kNumber, "125", false, 100, 1000, "",
     "percent",
     "A prompt prefix's home is used while its load is within this percentage "
     "of the mean."},
    {kEntry, "routing", "attach", kNumber, "64", false, 1, 10000, "",
     "endpoints",
     "Endpoints of each role of its own domain that an entry keeps streams "
     "to."},
    {kEntry, "routing", "attach_foreign", kNumber, "16", false, 0, 10000, "",
     "endpoints",
     "Endpoints of each role of other domains that an entry keeps streams "
     "to."},
    {kAgents, "endpoint", "backend", kAddress, "", false, kAny, kAny, "",
     "ip:port", "The model engine or plain service this agent guards."},
    {kAgent, "endpoint", "kind", kChoice, "engine", false, kAny, kAny,
     "engine|service", "choice", "What the back end is."},
    {kAgents, "endpoint", "role", kText, "", false, kAny, kAny, "", "name",
     "Role of the endpoint; bundles name roles."},
    {kDirectAgent, "endpoint", "facts_wait_ms", kReal, "120", false, 0, kDay,
     "", "ms",
     "How long an agent that starts waits to hear of an entry before it reads "
     "the rules itself, once and briefly."},
    {kAgent, "endpoint", "capacity", kNumber, "32", false, 1, 100000, "",
     "requests", "Requests the back end runs at once; more are refused."},
    {kAgent, "endpoint", "max_body_bytes", kNumber, "4194304", false, 1,
     1 << 30, "", "bytes", "Largest message a peer may send."},
    {kAgent, "weights", "store", kAddress, "", true, kAny, kAny, "", "ip:port",
     "The weight store; asked before the origin."},
    {kAgent, "weights", "origin", kAddress, "", false, kAny, kAny, "",
     "ip:port", "The origin of weights."},
    {kAgent, "weights", "link_bytes_per_second", kNumber, "0", false, 0, kTera,
     "", "bytes/s",
     "Rate of this machine's link that weights and live answers share; 0 for "
     "no limit."},
    {kDirectAgent, "weights", "link_mbps", kReal, "0", false, 0, 1e6, "",
     "Mbit/s",
     "This machine's link; pieces take a part of it; 0 for no limit."},
    {kAgent, "weights", "memory_bytes", kNumber, "268435456", false, 1 << 20,
     kTera, "", "bytes", "Chunks kept for peers."},
    {kAgent, "weights", "origin_copies", kNumber, "1", false, 1, 4, "",
     "copies",
     "How many members may draw each chunk from the origin: 1 weighs origin "
     "bytes, 3 time to live."},
    {kAgent, "weights", "draw_silence_ms", kReal, "2000", false, 10, kDay, "",
     "ms",
     "Next in rank draws from the origin when no new chunk was seen for this "
     "long."},
    {kAgent, "weights", "chunk_timeout_ms", kReal, "5000", false, 10, kDay, "",
     "ms", "A chunk request is given up after this."},
    {kAgent, "weights", "in_flight", kNumber, "8", false, 1, 1000, "",
     "requests", "Chunk requests outstanding at all peers."},
    {kAgent, "weights", "per_peer", kNumber, "2", false, 1, 100, "", "requests",
     "Chunk requests outstanding at one peer."},
    {kAgent, "weights", "neighbours", kNumber, "8", false, 1, 1000, "", "peers",
     "Peers of its own domain an agent exchanges chunks with."},
    {kAgent, "weights", "neighbours_foreign", kNumber, "4", false, 0, 1000, "",
     "peers", "Peers of other domains an agent exchanges chunks with."},
    {kAgent, "rollout", "max_out_share", kReal, "0.34", false, 0, 1, "",
     "share",
     "Part of a role's endpoints in a failure domain that may switch at "
     "once."},
    {kAgent, "rollout", "turn_lease_ms", kReal, "10000", false, 10, kDay, "",
     "ms", "Those ahead that make no progress for this long are passed."},
    {kAgent, "rollout", "pause_lease_ms", kReal, "1500", false, 500, kDay, "",
     "ms",
     "How long what the engine said is relied on; a process that did not run "
     "for this long re-reads the world before it acts."},
});

}  // namespace

std::span<const SettingDescription> SettingsTable() noexcept { return kTable; }

}  // namespace chalkwell::daemon
