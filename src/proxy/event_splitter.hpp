#pragma once
#include <string>
#include <string_view>

// Splits a stream (text/event-stream) into complete events.
namespace indigohill::proxy {

class EventSplitter {
 public:
  // Appends bytes as they come and returns those that make complete events; the rest stays.
  std::string append(std::string_view bytes);
  // The id of the newest complete event, empty before the first.
  const std::string& lastId() const { return lastId_; }
  const std::string& rest() const { return rest_; }
  void dropRest() { rest_.clear(); }
  // Of the events returned last only these were passed on; `idBefore` was the newest id before them.
  void rewind(std::string idBefore, std::string_view events) {
    lastId_ = std::move(idBefore);
    noteIds(events);
  }

 private:
  void noteIds(std::string_view events);
  std::string rest_, lastId_;
};

// Whether the first of these events may follow the one of that id: ids that are numbers rise.
bool continuesAfter(std::string_view events, const std::string& lastId);

}  // namespace indigohill::proxy
