#include "requests/key_claims.h"

#include <algorithm>
#include <utility>

#include "framework/base/digest.h"

namespace carobmast::requests {

namespace {

// Record formats: "claim DIGEST", "ran CLAIM" and "released CLAIM".
constexpr char kClaimPrefix[] = "claim ";
constexpr char kRanPrefix[] = "ran ";
constexpr char kReleasedPrefix[] = "released ";
// Hexadecimal digits that are kept of a key's digest: 128 bits.
constexpr std::size_t kDigestLength = 32;

std::string Digest(const std::string& key) {
  return Sha256Hex(key).substr(0, kDigestLength);
}

std::optional<std::string> AfterPrefix(const std::string& text,
                                       const std::string& prefix) {
  if (!text.starts_with(prefix)) return std::nullopt;
  return text.substr(prefix.size());
}

}  // namespace

KeyClaims::KeyClaims(KeyClaimsOptions options, KeyClaimsHooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {}

void KeyClaims::Start(MonotonicTime now) { ReadNext(now); }

std::string KeyClaims::NextId() {
  return options_.incarnation + "-" + std::to_string(next_id_++);
}

void KeyClaims::Claim(RequestId request, const std::string& key,
                      MonotonicTime now) {
  ++counters_.claims;
  const std::string digest = Digest(key);
  const auto known = claimed_keys_.find(digest);
  if (known != claimed_keys_.end()) {
    hooks_.decided(request, known->second.ran ? ClaimOutcome::kAlreadyRan
                                              : ClaimOutcome::kHeldByAnother);
    return;
  }
  if (log_unavailable_ || queued_.size() >= options_.max_waiting ||
      claimed_keys_.size() >= options_.max_keys) {
    hooks_.decided(request, ClaimOutcome::kUnavailable);
    return;
  }
  const std::string id = NextId();
  pending_[id] = {.request = request, .key = digest};
  QueueRecord(id, kClaimPrefix + digest, now);
}

void KeyClaims::OnKeyEnded(const std::string& key, Ran ran, MonotonicTime now) {
  const auto claimed_here = claimed_here_.find(Digest(key));
  if (claimed_here == claimed_here_.end()) return;
  const std::string claim = claimed_here->second;
  claimed_here_.erase(claimed_here);
  if (ran == Ran::kYes) QueueRecord(NextId(), kRanPrefix + claim, now);
  if (ran == Ran::kNo) Release(claim, now);
}

void KeyClaims::Release(const std::string& claim, MonotonicTime now) {
  ++counters_.released;
  QueueRecord(NextId(), kReleasedPrefix + claim, now);
}

void KeyClaims::QueueRecord(std::string id, std::string data,
                            MonotonicTime now) {
  // If the end of a request is not recorded its key stays claimed, which is
  // safe.
  if (queued_.size() >= 2 * options_.max_waiting) return;
  queued_.push_back({.id = std::move(id), .data = std::move(data)});
  AppendIfDue(now);
}

void KeyClaims::AppendIfDue(MonotonicTime now) {
  if (records_in_append_ > 0 || queued_.empty() || now < next_append_) return;
  records_in_append_ =
      std::min(queued_.size(), options_.max_records_per_append);
  ++counters_.appends;
  contracts::AppendRequest request{.stream = kKeyStream,
                                   .timeout = options_.append_timeout};
  request.records.assign(
      queued_.begin(),
      queued_.begin() + static_cast<std::ptrdiff_t>(records_in_append_));
  next_append_ = now + options_.append_interval;
  hooks_.append(request);
}

void KeyClaims::OnAppend(const contracts::AppendAnswer& answer,
                         MonotonicTime now) {
  log_unavailable_ = answer.outcome == contracts::AppendOutcome::kNotSent;
  if (answer.outcome == contracts::AppendOutcome::kAppended) {
    queued_.erase(
        queued_.begin(),
        queued_.begin() + static_cast<std::ptrdiff_t>(records_in_append_));
  } else {
    // Appended again with the same ids; readers ignore the duplicates.
    ++counters_.append_failures;
    next_append_ = now + options_.retry_after;
  }
  records_in_append_ = 0;
  AppendIfDue(now);
}

void KeyClaims::ReadNext(MonotonicTime) {
  next_read_.reset();
  hooks_.read(
      {.stream = kKeyStream, .from = folded_ + 1, .wait = options_.read_wait});
}

void KeyClaims::OnRead(const contracts::ReadAnswer& answer, MonotonicTime now) {
  log_unavailable_ = false;
  for (const contracts::LogRecord& record : answer.records) {
    if (record.offset <= folded_) continue;
    folded_ = record.offset;
    Fold(record, now);
  }
  // Records that are no longer kept are older than the window.
  if (answer.records.empty() && answer.first_kept > folded_ + 1) {
    folded_ = answer.first_kept - 1;
  }
  next_read_ = now;
}

void KeyClaims::OnReadFailed(MonotonicTime now) {
  log_unavailable_ = true;
  next_read_ = now + options_.retry_after;
}

void KeyClaims::Fold(const contracts::LogRecord& record, MonotonicTime now) {
  ForgetExpired(record.appended_at);
  if (const std::optional<std::string> key =
          AfterPrefix(record.data, kClaimPrefix)) {
    FoldClaim(record, *key, now);
  } else if (const std::optional<std::string> ran =
                 AfterPrefix(record.data, kRanPrefix)) {
    FoldEnd(*ran, true);
  } else if (const std::optional<std::string> released =
                 AfterPrefix(record.data, kReleasedPrefix)) {
    FoldEnd(*released, false);
  }
}

void KeyClaims::FoldClaim(const contracts::LogRecord& record,
                          const std::string& key, MonotonicTime now) {
  // A record that was appended twice counts once, even if its claim was
  // released in between.
  if (!seen_claims_.insert(record.id).second) return;
  claim_order_.push_back({.claim = record.id, .at = record.appended_at});
  if (!claimed_keys_.contains(key)) {
    claimed_keys_[key] = {.claim = record.id};
    key_by_claim_[record.id] = key;
  }
  ResolvePending(record, now);
}

// Decides the pending claim with the id of this record, if there is one. Only
// the first record with an id gets here.
void KeyClaims::ResolvePending(const contracts::LogRecord& record,
                               MonotonicTime now) {
  const auto found = pending_.find(record.id);
  if (found == pending_.end()) return;
  const Pending pending = found->second;
  pending_.erase(found);
  const KeyState& known = claimed_keys_.at(pending.key);
  if (known.claim != record.id) {
    hooks_.decided(pending.request, known.ran ? ClaimOutcome::kAlreadyRan
                                              : ClaimOutcome::kHeldByAnother);
    return;
  }
  ++counters_.taken;
  claimed_here_[pending.key] = record.id;
  if (hooks_.decided(pending.request, ClaimOutcome::kGranted)) return;
  // The request was refused in the meantime and never sent.
  claimed_here_.erase(pending.key);
  Release(record.id, now);
}

void KeyClaims::FoldEnd(const std::string& claim, bool ran) {
  const auto found = key_by_claim_.find(claim);
  if (found == key_by_claim_.end()) return;
  if (ran) {
    claimed_keys_.at(found->second).ran = true;
    return;
  }
  claimed_keys_.erase(found->second);
  key_by_claim_.erase(found);
}

void KeyClaims::ForgetExpired(WallTime now) {
  while (!claim_order_.empty() &&
         now - claim_order_.front().at >= options_.window) {
    const std::string& claim = claim_order_.front().claim;
    const auto known = key_by_claim_.find(claim);
    if (known != key_by_claim_.end()) {
      claimed_keys_.erase(known->second);
      key_by_claim_.erase(known);
    }
    seen_claims_.erase(claim);
    claim_order_.pop_front();
  }
}

void KeyClaims::Tick(MonotonicTime now) {
  AppendIfDue(now);
  if (next_read_.has_value() && *next_read_ <= now) ReadNext(now);
}

std::optional<MonotonicTime> KeyClaims::NextWake() const {
  std::optional<MonotonicTime> wake = next_read_;
  if (records_in_append_ == 0 && !queued_.empty() &&
      (!wake.has_value() || next_append_ < *wake)) {
    wake = next_append_;
  }
  return wake;
}

}  // namespace carobmast::requests
