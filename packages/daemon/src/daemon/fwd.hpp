// Forward declarations of the daemon package: event loop, transports and
// processes.
#pragma once

namespace chalkwell::daemon {

class Loop;
class Timer;
struct Address;
class HttpServer;
class HttpExchange;
class HttpClient;
class CallerMemory;
class MemoryLease;
class PeerServer;
class PeerCall;
class PeerConnection;
class EventLog;
class Metrics;
class Tracer;
class Entry;
class Agent;

}  // namespace chalkwell::daemon
