#pragma once

namespace indigohill::routing {
class Conduct;
class Evidence;
class Suspension;
class Table;
class Taking;
class WarmShares;
struct Asked;
struct Ending;
struct PassTo;
struct Picture;
struct Shed;
struct Wait;
}  // namespace indigohill::routing
