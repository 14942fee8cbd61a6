// Claims idempotency keys through the platform's log, so that of all requests
// with the same key, at all gateways, at most one is ever sent.
//
// A gateway appends a claim record. It sends the request only after it has read
// the stream up to that record and found no earlier claim of the key. All
// readers fold the stream in the same way. A release record gives up a claim;
// the gateway writes it only if the request was certainly not executed. While
// the log is unavailable no key can be claimed, and pending claims wait until
// the deadlines of their requests.
#ifndef CAROBMAST_REQUESTS_KEY_CLAIMS_H_
#define CAROBMAST_REQUESTS_KEY_CLAIMS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "contracts/types/log_record.h"
#include "framework/base/time.h"
#include "requests/request_core.h"

namespace carobmast::requests {

// Name of the log stream that holds the claims.
inline constexpr char kKeyStream[] = "keys";

struct KeyClaimsOptions {
  // Unique among all gateway processes, past ones included, e.g. RandomId().
  std::string incarnation;
  // Time for which a key is remembered after its claim. Must be shorter than
  // the retention time of the log.
  Duration window = std::chrono::hours(1);
  // Minimum time between two appends.
  Duration append_interval = std::chrono::milliseconds(50);
  Duration append_timeout = std::chrono::seconds(2);
  // Delay before an append or read is repeated after a failure.
  Duration retry_after = std::chrono::milliseconds(200);
  // Time for which a read waits for new records.
  Duration read_wait = std::chrono::seconds(4);
  std::size_t max_records_per_append = 500;
  // Maximum number of records that wait to be appended.
  std::size_t max_waiting = 5000;
  // Maximum number of remembered keys; further claims are refused.
  std::size_t max_keys = 500'000;
};

// Commands to the I/O code. A hook must not call KeyClaims before it returns.
struct KeyClaimsHooks {
  // Append records to the log, and report the result with OnAppend.
  std::function<void(const contracts::AppendRequest&)> append;
  // Read records from the log, and report OnRead or OnReadFailed.
  std::function<void(const contracts::ReadRequest&)> read;
  // Reports the outcome of a claim. Returns whether the request was still
  // waiting for it; if not, a granted claim is released.
  std::function<bool(RequestId, ClaimOutcome)> decided;
};

struct KeyClaimsCounters {
  std::uint64_t claims = 0;
  // Claims that were granted.
  std::uint64_t taken = 0;
  std::uint64_t appends = 0;
  std::uint64_t append_failures = 0;
  std::uint64_t released = 0;
};

// The key claims of one gateway. Does no I/O: results and times come in as
// calls, commands go out through the hooks.
class KeyClaims {
 public:
  KeyClaims(KeyClaimsOptions options, KeyClaimsHooks hooks);

  // Starts to read the stream.
  void Start(MonotonicTime now);

  // Claims `key` for a request. `decided` is called before this returns or
  // later.
  void Claim(RequestId request, const std::string& key, MonotonicTime now);
  // The request that holds the claim of `key` ended; `ran` tells whether it was
  // executed.
  void OnKeyEnded(const std::string& key, Ran ran, MonotonicTime now);

  void OnAppend(const contracts::AppendAnswer& answer, MonotonicTime now);
  void OnRead(const contracts::ReadAnswer& answer, MonotonicTime now);
  void OnReadFailed(MonotonicTime now);

  // Appends and reads what is due.
  void Tick(MonotonicTime now);
  // When Tick has to be called next, if at all.
  std::optional<MonotonicTime> NextWake() const;

  // Number of keys that are claimed at present, by any gateway.
  std::size_t keys() const { return claimed_keys_.size(); }
  const KeyClaimsCounters& counters() const { return counters_; }

 private:
  // The state of a claimed key according to the stream.
  struct KeyState {
    // Id of the record that claimed it.
    std::string claim;
    bool ran = false;
  };
  struct SeenClaim {
    std::string claim;
    WallTime at;
  };
  // A claim of this gateway whose record has not been read back yet.
  struct Pending {
    RequestId request = 0;
    std::string key;
  };

  std::string NextId();
  void QueueRecord(std::string id, std::string data, MonotonicTime now);
  void AppendIfDue(MonotonicTime now);
  void Fold(const contracts::LogRecord& record, MonotonicTime now);
  void FoldClaim(const contracts::LogRecord& record, const std::string& key,
                 MonotonicTime now);
  void FoldEnd(const std::string& claim, bool ran);
  void ResolvePending(const contracts::LogRecord& record, MonotonicTime now);
  void Release(const std::string& claim, MonotonicTime now);
  void ForgetExpired(WallTime now);
  void ReadNext(MonotonicTime now);

  KeyClaimsOptions options_;
  KeyClaimsHooks hooks_;
  contracts::Offset folded_ = 0;
  // By the digest of the key.
  std::unordered_map<std::string, KeyState> claimed_keys_;
  // The digest of the claimed key, by the id of the record that claimed it.
  std::unordered_map<std::string, std::string> key_by_claim_;
  // Claims within the window in stream order, including those that lost or were
  // released.
  std::deque<SeenClaim> claim_order_;
  std::unordered_set<std::string> seen_claims_;
  // Undecided claims of this gateway, by record id.
  std::map<std::string, Pending> pending_;
  // Claims of this gateway whose requests have not ended: record ids by the
  // digest of the key.
  std::map<std::string, std::string> claimed_here_;
  std::deque<contracts::NewRecord> queued_;
  // Number of records in the append in progress; 0 if there is none.
  std::size_t records_in_append_ = 0;
  // Whether the log was unavailable at the last append or read. Claims are
  // refused at once then.
  bool log_unavailable_ = false;
  MonotonicTime next_append_{};
  std::optional<MonotonicTime> next_read_;
  std::uint64_t next_id_ = 1;
  KeyClaimsCounters counters_;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_KEY_CLAIMS_H_
