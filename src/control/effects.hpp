#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "base/log_event.hpp"
#include "control/order.hpp"
#include "duties/platform_call.hpp"
#include "net/codec.hpp"

// What the control state asks of the world around it. The state machines of this folder do no I/O: they append to an
// `Effects`, and whoever drives them (the daemon, the simulator, the model checker) carries it out.
namespace indigohill::control {

// Keys of what is kept on disk. The numbers are part of the format on disk.
enum class Slot : std::uint8_t { Record = 1, Vote = 2, State = 3, Watermark = 4, Identity = 5 };

// A write that is to be synced and then reported by `Replica::onDiskWrite`. Token 0: nobody waits for it.
struct DiskWrite {
  std::uint64_t token = 0;
  Slot slot = Slot::Record;
  std::string bytes;
};

// What became of a write.
enum class WriteOutcome : std::uint8_t {
  Synced,  // it is on the disk
  Failed   // it may be on the disk all the same, or come there later
};

struct Effects {
  net::Outbox out;
  std::vector<DiskWrite> writes;  // to be made in this order
  std::vector<Answer> answers;    // to operators
  std::vector<base::LogEvent> log;
  std::vector<duties::PlatformCall> calls;  // of duties that are performed here
  std::vector<std::uint64_t> abortedCalls;  // calls that must not be on their way any more
};

// A message to a replica that is named, not addressed. It may be the sender itself.
struct PeerMessage {
  std::string to;  // voter id
  schema::Message message;
};

}  // namespace indigohill::control
