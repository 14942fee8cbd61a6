// Log lines in key=value form, written through log4cxx:
//
//   time=2026-01-02T03:04:05.678Z level=INFO module=config event="set in force"
//   offset=12
//
// (on one line). Lines are for changes of state; what happens often is counted
// by metrics.
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
  // Lines are appended to this file; empty for standard error.
  std::string file;
  LogLevel level = LogLevel::kInfo;
};

// Sets up the logs of the process; replaces an earlier set-up. Before the first
// call nothing is written.
void StartLogs(const LogOptions& options);

// One key with its value. Texts over 1 KiB are cut.
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
  // As written, with quotes where it needs them.
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

// Writes a line only when a state differs from the one before.
class StateLog {
 public:
  // `event` names what changes, e.g. "log service".
  StateLog(Log log, std::string event);

  // Returns whether the state changed.
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
