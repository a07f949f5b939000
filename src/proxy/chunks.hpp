#pragma once
#include <vector>

#include "http/types.hpp"

namespace indigohill::proxy {

// How long past its deadline an answer that has begun may take to reach a client that reads slowly.
constexpr base::Millis kWriteGrace{500};

// Adds the parts of a buffer sequence, a chunk for example, to those of one write. The sequence must outlive it.
template <class Buffers>
void appendBuffers(std::vector<http::asio::const_buffer>& out, const Buffers& buffers) {
  for (auto it = http::asio::buffer_sequence_begin(buffers); it != http::asio::buffer_sequence_end(buffers); ++it)
    out.push_back(*it);
}

}  // namespace indigohill::proxy
