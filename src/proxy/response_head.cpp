#include "proxy/response_head.hpp"

#include "proxy/headers.hpp"

namespace indigohill::proxy {

namespace wire = http::wire;

namespace {

// Whether a status line stands within the text, as where one response was cut off and the next one follows.
bool holdsStatusLine(std::string_view text) {
  static constexpr std::string_view version = "HTTP/1.";
  const auto isDigit = [](char character) { return character >= '0' && character <= '9'; };
  for (auto at = text.find(version); at != std::string_view::npos; at = text.find(version, at + 1)) {
    const auto rest = text.substr(at + version.size());
    if (rest.size() >= 3 && isDigit(rest[0]) && rest[1] == ' ' && isDigit(rest[2])) return true;
  }
  return false;
}

constexpr unsigned kFirstStatus = 100;

bool isMalformed(const wire::response_header<>& head) {
  if (head.result_int() < kFirstStatus) return true;
  if (head.count(kAttemptId) > 1 || head.count(kSeal) > 1) return true;
  const auto transfer = head.equal_range(wire::field::transfer_encoding);
  if (transfer.first != transfer.second &&
      (std::next(transfer.first) != transfer.second || !http::beast::iequals(transfer.first->value(), "chunked")))
    return true;
  if (holdsStatusLine(view(head.reason()))) return true;
  for (const auto& field : head)
    if (holdsStatusLine(view(field.value()))) return true;
  return false;
}

}  // namespace

ResponseOwner ownerOfResponse(const wire::response_header<>& head, std::string_view attemptId, bool mayHoldOthers) {
  if (isMalformed(head)) return ResponseOwner::Malformed;
  const auto status = head.result_int();
  if (status >= 100 && status < 200)
    return head.result() == wire::status::switching_protocols ? ResponseOwner::Malformed : ResponseOwner::Interim;
  const auto echoed = view(head[kAttemptId]);
  if (echoed.empty()) return mayHoldOthers ? ResponseOwner::Unknown : ResponseOwner::ThisRequest;
  return echoed == attemptId ? ResponseOwner::ThisRequest : ResponseOwner::OtherRequest;
}

}  // namespace indigohill::proxy
