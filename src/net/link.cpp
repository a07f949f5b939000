#include "net/link.hpp"

#include <array>
#include <charconv>

#include "base/log.hpp"
#include "base/task_failure.hpp"
#include "net/link_faults.hpp"

namespace indigohill::net {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {
constexpr std::size_t kDatagram = 8000;
constexpr base::Millis kCallLimit{2000};
constexpr std::size_t kSlowestBytesPerMs = 64;  // a link of half a megabit a second
constexpr const char* kPortHeader = "Indigohill-Cohort-Port";
}  // namespace

Link::Link(asio::any_io_executor strand, settings::Endpoint self, std::size_t connections, Receive receive,
           std::shared_ptr<http::MemoryBudget> memory)
    : strand_(strand),
      self_(self),
      receive_(std::move(receive)),
      socket_(strand),
      server_(
          http::awaitListen(strand, self, "messages"),
          {16384, kMaxMessageBytes, base::Millis(60000), {connections, kMaxMessageBytes}},
          [this](http::Request request, http::Caller caller) -> asio::awaitable<http::Response> {
            auto from = caller.address;
            const auto port = request[kPortHeader];
            std::uint16_t number = 0;
            std::from_chars(port.data(), port.data() + port.size(), number);
            from.port = number;
            take(request.body(), from);
            co_return http::answer(request, 204, "");
          },
          std::move(memory)) {
  socket_.open(udp::v4());
  http::awaitBind(self, "datagrams", [&] {
    boost::system::error_code error;
    socket_.bind({asio::ip::address_v4(self.ip), self.port}, error);
    return error;
  });
}

void Link::start() {
  server_.start();
  asio::co_spawn(strand_, receiveLoop(), base::EndOnTaskFailure("receive_datagrams"));
}

void Link::take(std::string_view bytes, const settings::Endpoint& from) {
  auto message = decode(bytes);
  if (const auto* bad = base::errorIn(message)) {
    ++dropped_;
    base::logWarning(base::LogEvent("message_dropped").with("from", settings::text(from)).with("error", bad->message));
    return;
  }
  receive_(std::get<schema::Message>(message), from);
}

asio::awaitable<void> Link::receiveLoop() {
  std::vector<char> buffer(65536);
  udp::endpoint from;
  for (;;) {
    auto [error, bytes] = co_await socket_.async_receive_from(asio::buffer(buffer), from, http::kTuple);
    if (error == asio::error::operation_aborted) co_return;
    // A datagram to a port without a listener comes back as an error of the next receive: no reason to stop.
    if (error) continue;
    take({buffer.data(), bytes}, {from.address().to_v4().to_uint(), from.port()});
  }
}

void Link::send(const Outbox& out) {
  std::string bytes;
  const schema::Message* encoded = nullptr;
  for (const auto& item : out) {
    if (isCut(self_, item.to)) continue;
    // The same message to many is encoded once.
    if (encoded == nullptr || !(item.message == *encoded)) bytes = encode(item.message);
    encoded = &item.message;
    if (bytes.size() <= kDatagram) {
      boost::system::error_code ignored;
      socket_.send_to(asio::buffer(bytes), {asio::ip::address_v4(item.to.ip), item.to.port}, 0, ignored);
      continue;
    }
    auto& channel = channels_[item.to];
    if (!channel) channel = std::make_shared<Channel>(strand_, item.to);
    channel->waiting[item.message.index()] = bytes;
    if (!channel->busy) {
      channel->busy = true;
      asio::co_spawn(strand_, run(item.to, channel), base::LogTaskFailure("send_message"));
    }
  }
}

asio::awaitable<void> Link::run(settings::Endpoint to, std::shared_ptr<Channel> channel) {
  while (!channel->waiting.empty()) {
    http::Request request(http::wire::verb::post, "/cohort", 11);
    request.set(kPortHeader, std::to_string(self_.port));
    request.body() = std::move(channel->waiting.begin()->second);
    channel->waiting.erase(channel->waiting.begin());
    // A large state on a slow link is whole only after a while; the limit is for a peer that says nothing.
    const auto limit = kCallLimit + base::Millis(request.body().size() / kSlowestBytesPerMs);
    auto result = co_await channel->client.call(std::move(request), limit);
    if (const auto* bad = base::errorIn(result)) {
      base::logDebug(base::LogEvent("message_lost").with("to", settings::text(to)).with("error", bad->message));
      channel->waiting.clear();
    }
  }
  channel->busy = false;
}

}  // namespace indigohill::net
