// Vocabulary of the membership module: who is there and may take work.
#pragma once

#include <cstdint>

namespace chalkwell::membership {

class Roster;
struct EndpointReport;
struct EndpointView;
class PauseDetector;
class PlannedStop;
class GossipTable;
class PathDelay;
class MessageOrder;
class LinkDelay;
class ReadDuty;
class ReportAudience;
class SpreadPlan;
class WatchDuty;
struct WatchDutySettings;
struct Member;

}  // namespace chalkwell::membership
