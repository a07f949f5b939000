#pragma once

namespace indigohill::base {
enum class Verdict;
struct Error;
template <class Event, class State>
class Journal;
}  // namespace indigohill::base
