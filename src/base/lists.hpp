#pragma once
#include <algorithm>

namespace indigohill::base {

template <class List, class Item>
bool contains(const List& list, const Item& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

}  // namespace indigohill::base
