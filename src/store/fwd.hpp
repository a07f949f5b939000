#pragma once

namespace indigohill::store {
class Store;
}  // namespace indigohill::store
