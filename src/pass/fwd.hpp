#pragma once

namespace indigohill::pass {
class EventCutter;
class Executor;
class Pool;
}  // namespace indigohill::pass
