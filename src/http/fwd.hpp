#pragma once

namespace indigohill::http {
class Client;
class Server;
}  // namespace indigohill::http
