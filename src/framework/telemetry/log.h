// Log lines in key=value form, written through log4cxx:
//
//   time=2026-01-02T03:04:05.678Z level=INFO module=config event="set in force"
//   offset=12
//
// (on one line). Log changes of state; count frequent events with metrics
// instead.
#ifndef CAROBMAST_FRAMEWORK_TELEMETRY_LOG_H_
#define CAROBMAST_FRAMEWORK_TELEMETRY_LOG_H_

#include <concepts>
#include <memory>
#include <string>
#include <vector>

#include "framework/base/time.h"

namespace log4cxx {
class Logger;
}  // namespace log4cxx

namespace carobmast::telemetry {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

struct LogOptions {
  // Lines are appended to this file; an empty path selects standard error.
  std::string file;
  LogLevel level = LogLevel::kInfo;
};

// Configures the logging of the whole process and replaces an earlier
// configuration. Nothing is written before the first call.
void ConfigureLogging(const LogOptions& options);

// One key with its value. Text values are truncated to 1 KiB.
struct Field {
  Field(std::string field_key, const std::string& text);
  Field(std::string field_key, const char* text);
  Field(std::string field_key, bool value);
  Field(std::string field_key, double value);
  Field(std::string field_key, Duration value);
  template <std::integral Number>
  Field(std::string field_key, Number value)
      : key(std::move(field_key)), value(std::to_string(value)) {}

  std::string key;
  // The value as written to the log, quoted and escaped where necessary.
  std::string value;
};

// Writes the lines of one module.
class Log {
 public:
  explicit Log(const std::string& module);

  void Debug(const std::string& event,
             const std::vector<Field>& fields = {}) const;
  void Info(const std::string& event,
            const std::vector<Field>& fields = {}) const;
  void Warn(const std::string& event,
            const std::vector<Field>& fields = {}) const;
  void Error(const std::string& event,
             const std::vector<Field>& fields = {}) const;
  void Write(LogLevel level, const std::string& event,
             const std::vector<Field>& fields) const;

 private:
  std::shared_ptr<log4cxx::Logger> logger_;
};

// Logs a state only when it differs from the previous one.
class StateLog {
 public:
  // `event` names what has the state, e.g. "log service".
  StateLog(Log log, std::string event);

  // Sets the state and logs it with the previous one if it changed. Returns
  // whether it changed.
  bool Set(const std::string& state, const std::vector<Field>& fields = {},
           LogLevel level = LogLevel::kInfo);

  const std::string& state() const { return state_; }

 private:
  Log log_;
  std::string event_;
  std::string state_;
};

}  // namespace carobmast::telemetry

#endif  // CAROBMAST_FRAMEWORK_TELEMETRY_LOG_H_
