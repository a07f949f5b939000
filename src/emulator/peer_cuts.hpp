#pragma once
#include <map>
#include <string>
#include <vector>

#include "emulator/cut_file.hpp"
#include "emulator/experiment.hpp"
#include "emulator/network.hpp"
#include "emulator/records.hpp"

namespace indigohill::emulator {

enum class CutKind {
  Zone,         // one zone from all others
  OneWay,       // nothing gets out of one zone
  Bridge,       // one zone from the next; others reach both
  Controllers,  // one zone's controllers from the other controllers; routers reach all
};

// The cuts between daemons that are in force: several may overlap. Told to the daemons by a file.
class PeerCuts {
 public:
  PeerCuts(const Experiment& experiment, const Network& network, Records& records, std::string path);

  // `zone`: taken modulo the zones. The number is for `end`.
  std::size_t begin(CutKind kind, std::size_t zone);
  void end(std::size_t cut);
  void endAll();

  // Whether what stands in one zone reaches the other and is reached from there, controllers' links aside.
  bool reaches(std::size_t zone, std::size_t other) const;

 private:
  struct InForce {
    CutKind kind{};
    std::size_t zone = 0;
  };

  bool isCut(const InForce& cut, std::size_t from, std::size_t to) const;
  void tell() const;

  const Experiment& experiment_;
  const Network& network_;
  Records& records_;
  std::string path_;
  std::map<std::size_t, InForce> cuts_;
  std::size_t next_ = 0;
};

}  // namespace indigohill::emulator
