#pragma once

namespace indigohill::http {
class Client;
class Server;
struct Caller;
}  // namespace indigohill::http
