#pragma once
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/result.hpp"
#include "schema/policy.hpp"
#include "schema/settings.hpp"

namespace indigohill::settings {

// An IPv4 address and port; empty (port 0) where a field is not given.
struct Endpoint {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};
std::string text(const Endpoint& endpoint);
base::Result<Endpoint> parseEndpoint(const std::string& text);

struct Ports {
  std::uint16_t first = 0, last = 0;
  bool operator==(const Ports&) const = default;
};

// How a router weighs runners against each other.
struct Policy {
#define INDIGOHILL_FIELD(type, member, path, reader, required, fallback, purpose) type member{};
  INDIGOHILL_POLICY(INDIGOHILL_FIELD)
#undef INDIGOHILL_FIELD
};

struct Settings {
  Policy policy;
#define INDIGOHILL_FIELD(type, member, path, reader, required, fallback, purpose) type member{};
  INDIGOHILL_SETTINGS(INDIGOHILL_FIELD)
#undef INDIGOHILL_FIELD
};

// Reads `a.b=value` lines. Unknown fields are ignored; a fault names the field.
base::Result<Settings> parse(const std::string& text);
base::Result<Settings> read(const std::string& path);

// Settings for a daemon that had better run with one value that is not meant than not at all.
struct TolerantSettings {
  Settings settings;
  std::vector<std::string> unreadable;  // fields, each with what is wrong
};
// The same, but a number or flag that cannot be read and need not be there is as in `previous`. Names, addresses and
// ports must be readable as before.
base::Result<TolerantSettings> parseTolerantly(const std::string& text, const Settings& previous);
base::Result<TolerantSettings> readTolerantly(const std::string& path, const Settings& previous);
// Every field as when it is not given.
Settings defaultSettings();
// The policy fields alone, from a file that need hold nothing else; what is not there has its default.
base::Result<Policy> parsePolicy(const std::string& text);
Policy defaultPolicy();
// What the role needs beyond what every role needs; empty when nothing is missing.
std::string missingFor(const Settings& settings, const std::string& role);

// The cohort's ports are agreed by role: the first of the range is the router's, the second the controller's.
std::uint16_t peerPort(const Settings& settings, bool controller);

}  // namespace indigohill::settings
