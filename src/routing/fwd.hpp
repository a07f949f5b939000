#pragma once

namespace indigohill::routing {
class Admission;
class CachedPrompts;
class Ejection;
class Evidence;
class FleetSize;
class RetryBudget;
class RoutingPolicy;
class RunnerChooser;
class RunnerLoad;
class RunnerSet;
class SharedHealth;
class SlowStartShares;
class Suspension;
class Table;
class TokenBucket;
class VersionGate;
struct Bounds;
struct Ending;
struct PassTo;
struct Reject;
struct RequestProfile;
struct RoutingSnapshot;
struct Runner;
struct Wait;
}  // namespace indigohill::routing
