#pragma once

namespace indigohill::routing {
class Table;
class Taking;
struct Asked;
struct PassTo;
struct Picture;
struct Shed;
struct Wait;
}  // namespace indigohill::routing
