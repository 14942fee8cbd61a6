// Appends one record under a unique id and retries until the log is known to
// hold it or the timeout has passed. Does no I/O: the caller carries out each
// step and reports its result. A retry may store the record twice, so the
// readers of the stream must ignore a repeated id.
#ifndef CAROBMAST_OPERATORS_APPEND_FLOW_H_
#define CAROBMAST_OPERATORS_APPEND_FLOW_H_

#include <optional>
#include <string>

#include "contracts/types/log_record.h"
#include "framework/base/time.h"

namespace carobmast::operators {

enum class AppendResultKind {
  kAppended,
  kNotAppended,  // the record is certainly not in the log
  // The log became unavailable after an append whose answer was lost.
  kUnknown,
};

struct AppendResult {
  AppendResultKind kind = AppendResultKind::kUnknown;
  // Of the record, when `kind` is kAppended.
  contracts::Offset offset = 0;
  // The data of the first record with the id, when a search found one; an
  // earlier run may have appended other data under the id.
  std::string existing_data;
  // Why the record was not appended or the outcome is unknown; else empty.
  std::string reason;
};

// What the caller does next: the read, the append, or return the result; with
// none of them it calls Next() again at the time `at`.
struct AppendStep {
  std::optional<contracts::ReadRequest> read;
  std::optional<contracts::AppendRequest> append;
  MonotonicTime at;
  std::optional<AppendResult> result;
};

struct AppendFlowOptions {
  std::string stream;
  contracts::NewRecord record;
  // Searches the whole stream before the first append, because an earlier run
  // may have appended a record with this id.
  bool search_first = false;
  // Limits the whole flow, with all its retries.
  Duration timeout = std::chrono::seconds(10);
};

class AppendFlow {
 public:
  AppendFlow(AppendFlowOptions options, MonotonicTime now);

  // Returns the next step. The caller reports the end of each read and append
  // by one of the calls below before it asks for another step.
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
  // No record before this offset has the id. Empty until the first read, which
  // precedes the first append and returns the end of the stream.
  std::optional<contracts::Offset> search_from_;
  // Whether the stream must be searched for the id before the next append.
  bool must_search_ = false;
  // Whether an append without an answer may have reached the log.
  bool maybe_appended_ = false;
  std::string last_error_;
  std::optional<AppendResult> result_;
};

}  // namespace carobmast::operators

#endif  // CAROBMAST_OPERATORS_APPEND_FLOW_H_
