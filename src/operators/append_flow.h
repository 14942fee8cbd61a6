// Appends one record with an id of its own until it is certain that the log has
// it, or until the time is up. Sans-I/O. For streams whose readers take a
// repeated id once only.
#ifndef CAROBMAST_OPERATORS_APPEND_FLOW_H_
#define CAROBMAST_OPERATORS_APPEND_FLOW_H_

#include <optional>
#include <string>

#include "contracts/types/log_record.h"
#include "framework/base/time.h"

namespace carobmast::operators {

enum class AppendResultKind {
  kAppended,
  kNotAppended,  // certainly not in the log
  kUnknown,      // the log was out after an append whose answer was lost
};

struct AppendResult {
  AppendResultKind kind = AppendResultKind::kUnknown;
  contracts::Offset offset = 0;
  // The data of the first record with the id, when it was found by a search.
  std::string existing_data;
  std::string reason;
};

struct AppendStep {
  std::optional<contracts::ReadRequest> read;
  std::optional<contracts::AppendRequest> append;
  MonotonicTime at;
  std::optional<AppendResult> result;
};

struct AppendFlowOptions {
  std::string stream;
  contracts::NewRecord record;
  // Whether an earlier run may have appended the id, so that the whole stream
  // is searched first.
  bool search_first = false;
  Duration timeout = std::chrono::seconds(10);
};

class AppendFlow {
 public:
  AppendFlow(AppendFlowOptions options, MonotonicTime now);

  // One step at a time; each read and append ends with one event below.
  AppendStep Next(MonotonicTime now);
  void OnRead(MonotonicTime now, contracts::Offset from,
              const contracts::ReadAnswer& answer);
  void OnReadError(MonotonicTime now, const std::string& reason);
  void OnAppend(MonotonicTime now, const contracts::AppendAnswer& answer);

 private:
  void Finish(AppendResult result);

  AppendFlowOptions options_;
  MonotonicTime deadline_;
  MonotonicTime next_try_;
  // Records before it are known not to be the own one; empty before the first
  // read, which comes before the first append.
  std::optional<contracts::Offset> search_from_;
  bool must_search_ = false;
  bool maybe_appended_ = false;
  std::string last_error_;
  std::optional<AppendResult> result_;
};

}  // namespace carobmast::operators

#endif  // CAROBMAST_OPERATORS_APPEND_FLOW_H_
