#include "http/listener.hpp"

#include <stdexcept>
#include <utility>

#include "base/start_retry.hpp"

namespace indigohill::http {

namespace {

constexpr int kBacklog = 1024;

// The acceptor is left as it is where that fails.
boost::system::error_code tryListen(tcp::acceptor& acceptor, const settings::Endpoint& at) {
  boost::system::error_code error;
  tcp::acceptor opened(acceptor.get_executor());
  opened.open(tcp::v4(), error);
  if (!error) opened.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) boundBuffers(opened);
  if (!error) opened.bind(tcpEndpoint(at), error);
  if (!error) opened.listen(kBacklog, error);
  if (!error) acceptor = std::move(opened);
  return error;
}

bool mayBecomeFree(const boost::system::error_code& error) {
  return error == asio::error::address_in_use || error == boost::system::errc::address_not_available;
}

}  // namespace

tcp::acceptor listen(const asio::any_io_executor& executor, const settings::Endpoint& at, const char* what) {
  tcp::acceptor acceptor(executor);
  if (const auto error = tryListen(acceptor, at))
    throw std::runtime_error(std::string(what) + " " + settings::text(at) + ": " + error.message());
  return acceptor;
}

tcp::acceptor awaitListen(const asio::any_io_executor& executor, const settings::Endpoint& at, const char* what) {
  tcp::acceptor acceptor(executor);
  awaitBind(at, what, [&] { return tryListen(acceptor, at); });
  return acceptor;
}

void awaitBind(const settings::Endpoint& at, const char* what, const std::function<boost::system::error_code()>& bind) {
  const auto failure = base::LogEvent("address_unavailable").with("for", what).with("address", settings::text(at));
  base::retryAtStart(failure, [&]() -> std::optional<std::string> {
    const auto error = bind();
    if (!error) return std::nullopt;
    if (!mayBecomeFree(error)) throw boost::system::system_error(error, std::string(what) + " " + settings::text(at));
    return error.message();
  });
}

}  // namespace indigohill::http
