#include "http/answer_writer.hpp"

namespace indigohill::http {

asio::awaitable<boost::system::error_code> writeAnswer(beast::tcp_stream& stream, const Response& response,
                                                       ResourceLimiter::Connection& connection) {
  wire::response_serializer<wire::string_body> serializer(response);
  connection.beginAnswer(base::Clock::now());
  while (!serializer.is_done()) {
    connection.beginAnswerWait(base::Clock::now());
    auto [error, bytes] = co_await wire::async_write_some(stream, serializer, kTuple);
    connection.endWait(error.failed());
    if (error) co_return error;
    connection.onAnswerTaken(bytes);
  }
  co_return boost::system::error_code{};
}

}  // namespace indigohill::http
