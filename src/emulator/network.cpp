#include "emulator/network.hpp"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <stdexcept>

#include "http/server.hpp"

namespace indigohill::emulator {

namespace {

constexpr int kFirstNetwork = 10, kLastNetwork = 250;

}  // namespace

Network freeNetwork() {
  boost::asio::io_context probe;
  const int numbers = kLastNetwork - kFirstNetwork + 1;
  for (int i = 0; i < numbers; ++i) {
    const Network network(static_cast<std::uint8_t>(kFirstNetwork + (::getpid() + i) % numbers));
    try {
      http::listen(probe.get_executor(), network.platform(), "platform");
      return network;
    } catch (const std::runtime_error&) {
      continue;
    }
  }
  throw std::runtime_error("every network number from 10 to 250 is in use");
}

}  // namespace indigohill::emulator
