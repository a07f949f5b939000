#pragma once

namespace indigohill::feed {
class Source;
class Sink;
struct Arrived;
}  // namespace indigohill::feed
