#include "proxy/client_monitor.hpp"

#include <utility>

namespace indigohill::proxy {

namespace asio = http::asio;

namespace {
constexpr std::size_t kReadBytes = 8192;
constexpr std::size_t kMaxPipelinedBytes = http::kMaxBufferedBytes;
}  // namespace

struct ClientMonitor::State {
  http::beast::tcp_stream* client = nullptr;  // null once the monitor has gone
  http::beast::flat_buffer* buffer = nullptr;
  bool watching = false;
  bool waiting = false;  // a wait is pending; it may outlast the request that it was begun for
  bool left = false;
  std::function<void()> action;
};

ClientMonitor::ClientMonitor(http::beast::tcp_stream& client, http::beast::flat_buffer& buffer)
    : state_(std::make_shared<State>()) {
  state_->client = &client;
  state_->buffer = &buffer;
  boost::system::error_code ignored;
  client.socket().non_blocking(true, ignored);
}

ClientMonitor::~ClientMonitor() {
  stop();
  state_->client = nullptr;
}

// A process that stood still handles what was due by time before what has come on its sockets.
bool ClientMonitor::hasLeft() {
  if (state_->watching && !state_->left) look(state_);
  return state_->left;
}

// The close may have come with the request, before a process that stood still had read either.
void ClientMonitor::start() {
  state_->watching = true;
  look(state_);
}

void ClientMonitor::stop() { state_->watching = false; }

void ClientMonitor::wait(const std::shared_ptr<State>& state) {
  if (std::exchange(state->waiting, true)) return;
  state->client->socket().async_wait(http::tcp::socket::wait_read, [state](boost::system::error_code error) {
    state->waiting = false;
    const bool isOpen = state->client != nullptr && state->client->socket().is_open();
    // An aborted wait is one that something else on the connection was cancelled with.
    if ((!error || error == asio::error::operation_aborted) && isOpen && state->watching) look(state);
  });
}

// Reads what is there, without waiting for it.
void ClientMonitor::look(const std::shared_ptr<State>& state) {
  if (state->buffer->size() >= kMaxPipelinedBytes) return;
  boost::system::error_code error;
  const auto bytes = state->client->socket().receive(state->buffer->prepare(kReadBytes), 0, error);
  if (!error) state->buffer->commit(bytes);
  const bool isOpen = !error || error == asio::error::would_block || error == asio::error::interrupted;
  if (isOpen) {
    if (state->buffer->size() < kMaxPipelinedBytes) wait(state);
    return;
  }
  state->left = true;
  if (auto action = std::exchange(state->action, nullptr)) action();
}

ClientMonitor::Action::Action(ClientMonitor& monitor, std::function<void()> action) : monitor_(monitor) {
  if (monitor_.state_->left)
    action();
  else
    monitor_.state_->action = std::move(action);
}

ClientMonitor::Action::~Action() { monitor_.state_->action = nullptr; }

}  // namespace indigohill::proxy
