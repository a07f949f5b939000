#pragma once
#include <functional>
#include <string>
#include <vector>

#include "hollow/fleet.hpp"

// What is done to a hollow fleet, and the figures that come of it.
namespace indigohill::hollow {

// One measured value. Simulated ones are the same for the same seed; real ones (processor time) are not.
struct Figure {
  Shape shape;
  std::string scenario, measure, role, kind;  // role and kind empty: all
  double value = 0;                           // NaN: not reached within the limit
  std::string unit;
  bool simulated = true;
};

struct Course {
  base::Millis steady{20000};  // how long the fleet is left alone and counted
  std::size_t repeats = 5;     // of changes, list changes and single faults
  base::Millis parted{30000};  // how long the regions are parted
  base::Millis limit{60000};   // for anything to be everywhere
  std::function<void(const std::string&)> say = [](const std::string&) {};
};

// Founding, steady state, changes, losses and returns of a whole fleet.
std::vector<Figure> measureFleet(const Shape& shape, const Course& course);

// One router's parts alone: the cost of a choice, and what a full journal of views and lists keeps.
std::vector<Figure> measureRouter(const Shape& shape, std::size_t choices);

}  // namespace indigohill::hollow
