#pragma once

namespace indigohill::lease {

class StoreClock;
class DutyLoop;
struct Times;

}  // namespace indigohill::lease
