#pragma once

namespace indigohill::proxy {
class EventCutter;
class Executor;
class Pool;
}  // namespace indigohill::proxy
