#pragma once

namespace indigohill::settings {
struct Endpoint;
struct Ports;
struct Settings;
}  // namespace indigohill::settings
