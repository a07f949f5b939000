#pragma once

namespace indigohill::control {
struct Configuration;
struct Effects;
struct Limits;
struct Order;
struct Route;
struct Service;
class Replica;
}  // namespace indigohill::control
