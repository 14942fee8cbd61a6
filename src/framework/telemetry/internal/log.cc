#include "framework/telemetry/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <cstdio>

#include "framework/base/units.h"

namespace carobmast::telemetry {

namespace {

constexpr char kRootName[] = "carobmast";
constexpr char kPattern[] =
    "time=%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z level=%p module=%c{1} event=%m%n";
constexpr std::size_t kMaxValueBytes = 1024;

log4cxx::LogString ToLogString(const std::string& text) {
  log4cxx::LogString converted;
  log4cxx::helpers::Transcoder::decodeUTF8(text, converted);
  return converted;
}

log4cxx::LevelPtr ToLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

log4cxx::AppenderPtr MakeAppender(const LogOptions& options) {
  const log4cxx::LayoutPtr layout =
      std::make_shared<log4cxx::PatternLayout>(ToLogString(kPattern));
  if (!options.file.empty()) {
    return std::make_shared<log4cxx::FileAppender>(
        layout, ToLogString(options.file), true);
  }
  return std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
}

// The parent of all module loggers. It has no appender before the first call of
// ConfigureLogging().
log4cxx::LoggerPtr RootLogger() {
  log4cxx::LoggerPtr root = log4cxx::Logger::getLogger(kRootName);
  root->setAdditivity(false);
  return root;
}

bool IsPlain(char c) {
  const unsigned char byte = static_cast<unsigned char>(c);
  return byte > ' ' && byte != 0x7f && c != '"' && c != '=' && c != '\\';
}

// Quotes a text that is empty, too long or has characters that would break the
// key=value form. Control characters are escaped, so that an entry stays on one
// line.
std::string Quote(const std::string& text) {
  bool plain = !text.empty() && text.size() <= kMaxValueBytes;
  for (const char c : text) plain = plain && IsPlain(c);
  if (plain) return text;
  std::string quoted = "\"";
  for (const char c : text.substr(0, kMaxValueBytes)) {
    const unsigned char byte = static_cast<unsigned char>(c);
    if (byte < ' ' || byte == 0x7f) {
      char escape[8];
      std::snprintf(escape, sizeof(escape), "\\u%04x", byte);
      quoted += escape;
      continue;
    }
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c;
  }
  if (text.size() > kMaxValueBytes) quoted += "...";
  return quoted + "\"";
}

// Truncates durations of a millisecond or more to whole microseconds, to keep
// log lines short.
Duration RoundForLog(Duration duration) {
  if (duration < std::chrono::milliseconds(1)) return duration;
  return std::chrono::duration_cast<std::chrono::microseconds>(duration);
}

}  // namespace

Field::Field(std::string field_key, const std::string& text)
    : key(std::move(field_key)), value(Quote(text)) {}

Field::Field(std::string field_key, const char* text)
    : Field(std::move(field_key), std::string(text)) {}

Field::Field(std::string field_key, bool flag)
    : key(std::move(field_key)), value(flag ? "true" : "false") {}

Field::Field(std::string field_key, double number) : key(std::move(field_key)) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.6g", number);
  value = text;
}

Field::Field(std::string field_key, Duration duration)
    : key(std::move(field_key)), value(FormatDuration(RoundForLog(duration))) {}

void ConfigureLogging(const LogOptions& options) {
  const log4cxx::LoggerPtr root = RootLogger();
  root->removeAllAppenders();
  root->addAppender(MakeAppender(options));
  root->setLevel(ToLevel(options.level));
}

Log::Log(const std::string& module) {
  RootLogger();
  logger_ = log4cxx::Logger::getLogger(std::string(kRootName) + "." + module);
}

void Log::Write(LogLevel level, const std::string& event,
                const std::vector<Field>& fields) const {
  const log4cxx::LevelPtr log_level = ToLevel(level);
  if (!logger_->isEnabledFor(log_level)) return;
  // log4cxx warns on standard error about a logger without an appender.
  if (logger_->getParent()->getAllAppenders().empty()) return;
  std::string line = Quote(event);
  for (const Field& field : fields) {
    line += " " + field.key + "=" + field.value;
  }
  logger_->forcedLog(log_level, line);
}

void Log::Debug(const std::string& event,
                const std::vector<Field>& fields) const {
  Write(LogLevel::kDebug, event, fields);
}

void Log::Info(const std::string& event,
               const std::vector<Field>& fields) const {
  Write(LogLevel::kInfo, event, fields);
}

void Log::Warn(const std::string& event,
               const std::vector<Field>& fields) const {
  Write(LogLevel::kWarn, event, fields);
}

void Log::Error(const std::string& event,
                const std::vector<Field>& fields) const {
  Write(LogLevel::kError, event, fields);
}

StateLog::StateLog(Log log, std::string event)
    : log_(std::move(log)), event_(std::move(event)) {}

bool StateLog::Set(const std::string& state, const std::vector<Field>& fields,
                   LogLevel level) {
  if (state == state_) return false;
  std::vector<Field> all = {{"state", state}, {"before", state_}};
  all.insert(all.end(), fields.begin(), fields.end());
  log_.Write(level, event_, all);
  state_ = state;
  return true;
}

}  // namespace carobmast::telemetry
