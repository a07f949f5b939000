#pragma once

namespace indigohill::model {
struct Bounds;
struct Statistics;
class ReplicaModel;
}  // namespace indigohill::model
