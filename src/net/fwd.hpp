#pragma once

namespace indigohill::net {
class Link;
struct Outgoing;
}  // namespace indigohill::net
