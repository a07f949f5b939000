#pragma once

namespace indigohill::rollout {
struct InForce;
struct Record;
struct Snapshot;
}  // namespace indigohill::rollout
