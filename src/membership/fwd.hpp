#pragma once

namespace indigohill::membership {
class Group;
struct Times;
}  // namespace indigohill::membership
