#include "metrics/server.hpp"

#include <exception>
#include <utility>

#include "base/log.hpp"

namespace indigohill::metrics {

namespace {

constexpr const char* kContentType = "text/plain; version=0.0.4; charset=utf-8";
constexpr std::uint64_t kMaxBodyBytes = 1024;  // of a request
constexpr std::size_t kMaxConnections = 16;

http::asio::awaitable<http::Response> respond(http::Request request, const Server::Collect& collect) {
  const std::string_view target(request.target().data(), request.target().size());
  if (target.substr(0, target.find('?')) != kPath) co_return http::answer(request, 404, "no such call");
  if (request.method() != http::wire::verb::get) co_return http::answer(request, 405, "GET is wanted");
  co_return http::answer(request, 200, collect(), kContentType);
}

}  // namespace

Server::Server(http::asio::any_io_executor executor, const settings::Endpoint& at, Collect collect,
               std::shared_ptr<http::MemoryBudget> memory) {
  if (at.port == 0) return;
  http::Server::Limits limits;
  limits.bodyBytes = kMaxBodyBytes;
  limits.clients = {kMaxConnections, kMaxConnections * kMaxBodyBytes};
  try {
    server_ = std::make_unique<http::Server>(
        executor, at, limits,
        [collect = std::move(collect)](http::Request request, const http::Caller&) {
          return respond(std::move(request), collect);
        },
        std::move(memory));
    server_->start();
  } catch (const std::exception& error) {
    base::logWarning(base::LogEvent("metrics_unavailable").with("error", error.what()));
  }
}

}  // namespace indigohill::metrics
