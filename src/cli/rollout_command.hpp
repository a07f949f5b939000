#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace indigohill::cli {

enum class RolloutVerb { Declare, Status, Advance, Withdraw };

struct RolloutArguments {
  RolloutVerb verb = RolloutVerb::Status;
  std::vector<std::string> control;  // addresses of controllers, tried in turn
  std::string file;                  // of the record, to declare
  std::string service, stage;
  std::uint64_t number = 0;  // 0: the one after that in force
  double waitS = 10;
  bool evenWithoutRunners = false, json = false;
};

// 0: done, or status: nobody is held back; 1: status: somebody is; 2: the order or its record is wrong; 3: an input
// cannot be used; 4: the order does not fit what is in force; 5: no clear answer, it may be in force or not.
int runRollout(RolloutVerb verb, const RolloutArguments& arguments);

}  // namespace indigohill::cli
