// What a daemon may meet at its start, and must not end by.
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/ip/udp.hpp>

#include "daemon.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using emulator::Role;
namespace asio = boost::asio;

namespace {

// A daemon that reads its settings from a pipe gets a hangup before it has them.
void hangUpBeforeTheSettings(Role role) {
  const TestFolder folder;
  const auto network = emulator::freeNetwork();
  const auto path = folder.file("settings");
  ::mkfifo(path.c_str(), 0600);
  Daemon daemon(role, path);
  const int writeEnd = ::open(path.c_str(), O_WRONLY);  // waits until the daemon reads
  daemon.signal(SIGHUP);
  const auto text = settingsOf(role, network, folder);
  cr_assert_eq(::write(writeEnd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
  ::close(writeEnd);
  cr_assert(daemon.hasStarted(), "%s", daemon.output().c_str());
}

// A daemon whose libraries are still being initialised gets a hangup.
void hangUpBeforeMain(Role role) {
  const TestFolder folder;
  const auto path = folder.file("settings"), gate = folder.file("gate");
  writeFile(path, settingsOf(role, emulator::freeNetwork(), folder));
  ::mkfifo(gate.c_str(), 0600);
  Daemon daemon({"/bin/sh", "-c",
                 "INDIGOHILL_TEST_GATE=" + gate + " LD_PRELOAD=" INDIGOHILL_WAIT_IN_CONSTRUCTOR " exec " +
                     INDIGOHILL_PROGRAM + " " + emulator::nameOf(role) + " --settings " + path});
  const int writeEnd = ::open(gate.c_str(), O_WRONLY);  // waits until the constructor reads
  daemon.signal(SIGHUP);
  ::close(writeEnd);
  cr_assert(daemon.hasStarted(), "%s", daemon.output().c_str());
}

template <class Protocol>
void holdAtStart(Role role, const settings::Endpoint& port) {
  const TestFolder folder;
  const auto path = folder.file("settings");
  // Of the network whose address is held.
  const emulator::Network network(static_cast<std::uint8_t>((port.ip >> 16) & 0xff));
  writeFile(path, settingsOf(role, network, folder));
  asio::io_context io;
  typename Protocol::socket holder(io, typename Protocol::endpoint(asio::ip::address_v4(port.ip), port.port));
  Daemon daemon(role, path);
  cr_assert(daemon.hasSaid("\"address_unavailable\""), "%s", daemon.output().c_str());
  holder.close();
  cr_assert(daemon.hasStarted(), "%s", daemon.output().c_str());
}

}  // namespace

Test(daemon_start, a_hangup_before_the_settings_are_read_does_not_end_a_router) {
  hangUpBeforeTheSettings(Role::Router);
}

Test(daemon_start, a_hangup_before_the_settings_are_read_does_not_end_a_controller) {
  hangUpBeforeTheSettings(Role::Controller);
}

Test(daemon_start, a_hangup_before_main_does_not_end_a_router) { hangUpBeforeMain(Role::Router); }

Test(daemon_start, a_hangup_before_main_does_not_end_a_controller) { hangUpBeforeMain(Role::Controller); }

Test(daemon_start, a_limit_on_file_sizes_does_not_end_a_controller) {
  const TestFolder folder;
  const auto path = folder.file("settings");
  writeFile(path, settingsOf(Role::Controller, emulator::freeNetwork(), folder));
  Daemon daemon(
      {"/bin/sh", "-c", std::string("ulimit -f 16; exec ") + INDIGOHILL_PROGRAM + " controller --settings " + path});
  cr_assert(daemon.hasSaid("\"store_commit_failed\""), "%s", daemon.output().c_str());
  cr_assert(daemon.runs());
}

Test(daemon_start, a_limit_on_the_address_space_does_not_end_a_router_of_many_workers) {
  const TestFolder folder;
  const auto path = folder.file("settings");
  emulator::Experiment experiment;
  experiment.cpuCores = 64;
  writeFile(path, settingsOf(Role::Router, emulator::freeNetwork(), folder, experiment));
  Daemon daemon(
      {"/bin/sh", "-c", std::string("ulimit -v 266240; exec ") + INDIGOHILL_PROGRAM + " router --settings " + path});
  cr_assert(daemon.hasStarted(), "%s", daemon.output().c_str());
  daemon.signal(SIGTERM);
  cr_assert(daemon.hasSaid("\"router_stopped\""), "%s", daemon.output().c_str());
}

Test(daemon_start, a_held_port_of_clients_does_not_end_a_router) {
  holdAtStart<asio::ip::tcp>(Role::Router, emulator::freeNetwork().frontend(0));
}

Test(daemon_start, a_held_port_of_readiness_does_not_end_a_router) {
  holdAtStart<asio::ip::tcp>(Role::Router, emulator::freeNetwork().readiness(0));
}

Test(daemon_start, a_held_port_of_control_does_not_end_a_controller) {
  holdAtStart<asio::ip::tcp>(Role::Controller, emulator::freeNetwork().controlPlane(0));
}

Test(daemon_start, a_held_port_between_daemons_does_not_end_a_daemon) {
  for (const auto role : {Role::Router, Role::Controller}) {
    holdAtStart<asio::ip::tcp>(role, emulator::freeNetwork().peer(role, 0));
    holdAtStart<asio::ip::udp>(role, emulator::freeNetwork().peer(role, 0));
  }
}

Test(daemon_start, an_optional_value_that_cannot_be_read_does_not_end_a_daemon) {
  for (const auto role : {Role::Router, Role::Controller})
    for (const auto* line : {"limits.cpuCores=1.0", "limits.memoryMb=true", "bounds.contactMs=-1"}) {
      const TestFolder folder;
      const auto path = folder.file("settings");
      writeFile(path, withLine(settingsOf(role, emulator::freeNetwork(), folder), line));
      Daemon daemon(role, path);
      cr_assert(daemon.hasStarted(), "%s", daemon.output().c_str());
    }
}

Test(daemon_start, settings_that_are_being_written_do_not_end_a_daemon) {
  for (const auto role : {Role::Router, Role::Controller}) {
    const TestFolder folder;
    const auto path = folder.file("settings");
    const auto text = settingsOf(role, emulator::freeNetwork(), folder);
    for (const auto& begun : {std::string(), text.substr(0, text.size() / 4)}) {
      writeFile(path, begun);
      Daemon daemon(role, path);
      cr_assert(daemon.hasSaid("settings: "), "%s", daemon.output().c_str());
      writeFile(path, text);
      cr_assert(daemon.hasStarted(), "%s", daemon.output().c_str());
    }
  }
}
