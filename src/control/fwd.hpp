#pragma once

namespace indigohill::control {
struct Configuration;
struct Effects;
struct Limits;
struct Order;
struct Route;
struct Service;
class Replica;
class Controller;
}  // namespace indigohill::control
