#pragma once

namespace indigohill::routing {
class RoutingPolicy;
class Evidence;
class Suspension;
class Table;
class Admission;
class SlowStartShares;
struct Asked;
struct Ending;
struct PassTo;
struct Picture;
struct Shed;
struct Wait;
}  // namespace indigohill::routing
