#include "proxy/event_splitter.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace indigohill::proxy {

namespace {
// The end of the last complete event: behind its blank line. Before `from` there is none.
std::size_t lastEnd(std::string_view text, std::size_t from) {
  const auto recent = text.substr(from);
  const auto lf = recent.rfind("\n\n");
  const auto crlf = recent.rfind("\r\n\r\n");
  std::size_t end = 0;
  if (lf != std::string_view::npos) end = from + lf + 2;
  if (crlf != std::string_view::npos) end = std::max(end, from + crlf + 4);
  return end;
}
// The end of the first event.
std::size_t firstEnd(std::string_view text) {
  const auto lf = text.find("\n\n");
  const auto crlf = text.find("\r\n\r\n");
  return std::min(lf == std::string_view::npos ? text.size() : lf + 2,
                  crlf == std::string_view::npos ? text.size() : crlf + 4);
}
std::optional<std::uint64_t> eventNumber(std::string_view id) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number);
  if (error != std::errc{} || end != id.data() + id.size()) return std::nullopt;
  return number;
}
}  // namespace

bool continuesAfter(std::string_view events, const std::string& lastId) {
  EventSplitter first;
  first.append(events.substr(0, firstEnd(events)));
  const auto before = eventNumber(lastId), next = eventNumber(first.lastId());
  return !before || !next || *next > *before;
}

std::string EventSplitter::append(std::string_view bytes) {
  // A blank line may have begun before these bytes.
  constexpr std::size_t kMaxBlankLine = 4;
  const auto from = rest_.size() < kMaxBlankLine ? 0 : rest_.size() - kMaxBlankLine;
  rest_.append(bytes);
  const auto end = lastEnd(rest_, from);
  if (end == 0) return {};
  auto complete = rest_.substr(0, end);
  rest_.erase(0, end);
  noteIds(complete);
  return complete;
}

void EventSplitter::noteIds(std::string_view events) {
  std::size_t at = 0;
  while (at < events.size()) {
    auto end = events.find('\n', at);
    if (end == std::string_view::npos) end = events.size();
    auto line = events.substr(at, end - at);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      if (line.starts_with(' ')) line.remove_prefix(1);
      lastId_ = line;
    }
    at = end + 1;
  }
}

}  // namespace indigohill::proxy
