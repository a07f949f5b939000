#include "base/log.hpp"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include "base/time.hpp"

namespace indigohill::base {

namespace {

constexpr std::string_view kEventField = "\"event\":";

// The fields of an event, or another message as a JSON string: a line stays one JSON object whatever is logged.
class JsonMessage : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& msg, const std::tm&, spdlog::memory_buf_t& out) override {
    const std::string_view payload(msg.payload.data(), msg.payload.size());
    const auto text = payload.starts_with(kEventField) ? std::string(payload) : "\"msg\":" + quoted(payload);
    out.append(text.data(), text.data() + text.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override { return std::make_unique<JsonMessage>(); }
};

// Milliseconds of the steady clock: the time of day may step.
class SteadyMs : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg&, const std::tm&, spdlog::memory_buf_t& out) override {
    const auto text = std::to_string(toMs(Clock::now()));
    out.append(text.data(), text.data() + text.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override { return std::make_unique<SteadyMs>(); }
};

spdlog::level::level_enum spdlogLevel(const std::string& level) {
  return spdlog::level::from_str(level == "warn" ? "warning" : level);
}

}  // namespace

void setLogLevel(const std::string& level) { spdlog::set_level(spdlogLevel(level)); }

std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (const char character : text) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      out += '\\';
      out += character;
    } else if (code < 0x20) {
      out += fmt::format("\\u{:04x}", code);
    } else {
      out += character;
    }
  }
  return out + "\"";
}

std::shared_ptr<spdlog::logger> openRecords() {
  auto logger = std::make_shared<spdlog::logger>("records", std::make_shared<spdlog::sinks::stdout_sink_mt>());
  logger->set_pattern("%v");
  return logger;
}

bool isDebugLogged() { return spdlog::should_log(spdlog::level::debug); }
void logDebug(const LogEvent& event) { spdlog::debug("{}", event.json()); }
void logInfo(const LogEvent& event) { spdlog::info("{}", event.json()); }
void logWarning(const LogEvent& event) { spdlog::warn("{}", event.json()); }
void logError(const LogEvent& event) { spdlog::error("{}", event.json()); }

bool isLogLevel(const std::string& level) {
  return level == "debug" || level == "info" || level == "warn" || level == "error";
}

void openLog(const std::string& node, const std::string& role, const std::string& level) {
  auto logger = std::make_shared<spdlog::logger>("indigohill", std::make_shared<spdlog::sinks::stdout_sink_mt>());
  auto formatter = std::make_unique<spdlog::pattern_formatter>();
  formatter->add_flag<JsonMessage>('J').add_flag<SteadyMs>('S').set_pattern(
      R"({"ms":%S,"level":"%l","node":)" + quoted(node) + R"(,"role":)" + quoted(role) + R"(,%J})");
  logger->set_formatter(std::move(formatter));
  logger->set_level(spdlogLevel(level));
  logger->flush_on(spdlog::level::debug);
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace indigohill::base
