// Claims of idempotency keys through the platform's log, so that of all the
// requests under one key at all gateways at most one is ever sent.
//
// A gateway appends a claim record and sends the request only after it has read
// the stream up to that record and found no earlier claim of the key. Every
// reader folds the stream in the same way. A claim is given up by a release
// record, which its gateway writes only when the request was certainly not run.
// While the log is out no key can be claimed; claims in flight wait until the
// requests' deadlines.
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

inline constexpr char kKeyStream[] = "keys";

struct KeyClaimsOptions {
  // Unique among all processes that ever were, e.g. RandomId().
  std::string incarnation;
  // How long a key is remembered after its claim; shorter than the log keeps
  // records.
  Duration window = std::chrono::hours(1);
  // Between two appends.
  Duration append_interval = std::chrono::milliseconds(50);
  Duration append_timeout = std::chrono::seconds(2);
  // After a failed append or read.
  Duration retry_after = std::chrono::milliseconds(200);
  Duration read_wait = std::chrono::seconds(4);
  std::size_t max_records_per_append = 500;
  // Records that wait to be appended.
  std::size_t max_waiting = 5000;
  // Keys that are remembered; further claims are refused.
  std::size_t max_keys = 500'000;
};

// Commands to the I/O code. None may call back before it returns.
struct KeyClaimsHooks {
  // Append; report OnAppend.
  std::function<void(const contracts::AppendRequest&)> append;
  // Read; report OnRead or OnReadFailed.
  std::function<void(const contracts::ReadRequest&)> read;
  // Returns whether the request still waits for its claim.
  std::function<bool(RequestId, ClaimOutcome)> decided;
};

struct KeyClaimsCounters {
  std::uint64_t claims = 0;
  std::uint64_t taken = 0;
  std::uint64_t appends = 0;
  std::uint64_t append_failures = 0;
  std::uint64_t released = 0;
};

class KeyClaims {
 public:
  KeyClaims(KeyClaimsOptions options, KeyClaimsHooks hooks);

  // Begins to read the stream.
  void Start(MonotonicTime now);

  // Claims `key` for a request; `decided` is called at once or later.
  void Claim(RequestId request, const std::string& key, MonotonicTime now);
  // A request with a claimed key ended.
  void OnKeyEnded(const std::string& key, Ran ran, MonotonicTime now);

  void OnAppend(const contracts::AppendAnswer& answer, MonotonicTime now);
  void OnRead(const contracts::ReadAnswer& answer, MonotonicTime now);
  void OnReadFailed(MonotonicTime now);

  void Tick(MonotonicTime now);
  std::optional<MonotonicTime> NextWake() const;

  std::size_t keys() const { return claimed_keys_.size(); }
  const KeyClaimsCounters& counters() const { return counters_; }

 private:
  // What the stream says about a key.
  struct KeyState {
    // The id of the record that claimed it.
    std::string claim;
    bool ran = false;
  };
  struct SeenClaim {
    std::string claim;
    WallTime at;
  };
  // A claim of this gateway whose record is not folded yet.
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
  // The key of each claim that holds one.
  std::unordered_map<std::string, std::string> key_by_claim_;
  // Claims within the window in the order of the stream, those that lost or
  // were released included.
  std::deque<SeenClaim> claim_order_;
  std::unordered_set<std::string> seen_claims_;
  // Claims of this gateway, by the record's id.
  std::map<std::string, Pending> pending_;
  // Of this gateway, claimed and not ended; by the digest of the key.
  std::map<std::string, std::string> claimed_here_;
  std::deque<contracts::NewRecord> queued_;
  // Records of the append that is under way.
  std::size_t records_in_append_ = 0;
  // The last append or read failed: claims are refused at once.
  bool log_unavailable_ = false;
  MonotonicTime next_append_{};
  std::optional<MonotonicTime> next_read_;
  std::uint64_t next_id_ = 1;
  KeyClaimsCounters counters_;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_KEY_CLAIMS_H_
