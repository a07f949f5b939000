#pragma once

namespace indigohill::feed {
class Publisher;
class Subscriber;
struct Arrived;
class Follower;
}  // namespace indigohill::feed
