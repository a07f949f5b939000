#pragma once

namespace indigohill::feed {
class Source;
class Sink;
struct Arrived;
class Follower;
}  // namespace indigohill::feed
