#pragma once
#include <string>
#include <string_view>

// The events of a stream (text/event-stream), cut at their ends.
namespace indigohill::proxy {

class EventCutter {
 public:
  // Takes bytes as they come and gives back those that make whole events; the rest waits.
  std::string take(std::string_view bytes);
  // The id of the newest whole event, empty before the first.
  const std::string& lastId() const { return lastId_; }
  const std::string& rest() const { return rest_; }
  std::size_t waiting() const { return rest_.size(); }
  void drop() { rest_.clear(); }
  // Of the events taken last only these were passed on; `idBefore` was the newest id before them.
  void passedOnly(std::string idBefore, std::string_view events) {
    lastId_ = std::move(idBefore);
    noteIds(events);
  }

 private:
  void noteIds(std::string_view events);
  std::string rest_, lastId_;
};

// Whether the first of these events may follow the one of that id: ids that are numbers rise.
bool goesOnBehind(std::string_view events, const std::string& lastId);

}  // namespace indigohill::proxy
