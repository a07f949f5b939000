#include "base/log.hpp"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include "base/time.hpp"

namespace indigohill::base {

namespace {

// The message as a JSON string, so that a line stays one JSON object whatever is logged.
class JsonMessage : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& msg, const std::tm&, spdlog::memory_buf_t& out) override {
    const auto text = quoted({msg.payload.data(), msg.payload.size()});
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

}  // namespace

std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    const auto u = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (u < 0x20) {
      out += fmt::format("\\u{:04x}", u);
    } else {
      out += c;
    }
  }
  return out + "\"";
}

std::shared_ptr<spdlog::logger> openRecords() {
  auto logger = std::make_shared<spdlog::logger>("records", std::make_shared<spdlog::sinks::stdout_sink_mt>());
  logger->set_pattern("%v");
  return logger;
}

bool knownLevel(const std::string& level) {
  return level == "debug" || level == "info" || level == "warn" || level == "error";
}

void openLog(const std::string& node, const std::string& role, const std::string& level) {
  auto logger = std::make_shared<spdlog::logger>("indigohill", std::make_shared<spdlog::sinks::stdout_sink_mt>());
  auto formatter = std::make_unique<spdlog::pattern_formatter>();
  formatter->add_flag<JsonMessage>('J').add_flag<SteadyMs>('S').set_pattern(
      R"({"ms":%S,"level":"%l","node":)" + quoted(node) + R"(,"role":)" + quoted(role) + R"(,"msg":%J})");
  logger->set_formatter(std::move(formatter));
  logger->set_level(spdlog::level::from_str(level == "warn" ? "warning" : level));
  logger->flush_on(spdlog::level::debug);
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace indigohill::base
