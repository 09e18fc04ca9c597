// Forward declarations of the membership module: known processes and whether
// they accept work.
#pragma once

#include <cstdint>

namespace chalkwell::membership {

class ListedEndpoints;
struct EndpointReport;
struct EndpointView;
class SuspensionDetector;
class GracefulShutdown;
class GossipTable;
class PathDelay;
class MessageOrder;
class LinkDelay;
class ReaderRole;
class ReportSubscribers;
class PropagationPlan;
class WatcherRole;
struct WatcherRoleSettings;
struct Member;

}  // namespace chalkwell::membership
