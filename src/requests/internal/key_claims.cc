#include "requests/key_claims.h"

#include <algorithm>
#include <utility>

#include "framework/base/digest.h"

namespace carobmast::requests {

namespace {

// Records are "claim DIGEST", "ran CLAIM" and "released CLAIM".
constexpr char kClaim[] = "claim ";
constexpr char kRan[] = "ran ";
constexpr char kReleased[] = "released ";
// Hexadecimal digits of a key's digest that are kept: 128 bits.
constexpr std::size_t kDigestLength = 32;

std::string Digest(const std::string& key) {
  return Sha256Hex(key).substr(0, kDigestLength);
}

std::optional<std::string> After(const std::string& text,
                                 const std::string& prefix) {
  if (!text.starts_with(prefix)) return std::nullopt;
  return text.substr(prefix.size());
}

}  // namespace

KeyClaims::KeyClaims(KeyClaimsOptions options, KeyClaimsHooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {}

void KeyClaims::Start(MonotonicTime now) { ReadOn(now); }

std::string KeyClaims::NextId() {
  return options_.incarnation + "-" + std::to_string(next_id_++);
}

void KeyClaims::Claim(RequestId request, const std::string& key,
                      MonotonicTime now) {
  ++counters_.claims;
  const std::string digest = Digest(key);
  const auto held = keys_.find(digest);
  if (held != keys_.end()) {
    hooks_.decided(request, held->second.ran ? ClaimOutcome::kAlreadyRan
                                             : ClaimOutcome::kHeldByAnother);
    return;
  }
  if (log_out_ || waiting_.size() >= options_.max_waiting ||
      keys_.size() >= options_.max_keys) {
    hooks_.decided(request, ClaimOutcome::kUnavailable);
    return;
  }
  const std::string id = NextId();
  pending_[id] = {.request = request, .key = digest};
  Write(id, kClaim + digest, now);
}

void KeyClaims::OnKeyEnded(const std::string& key, Ran ran, MonotonicTime now) {
  const auto own = own_.find(Digest(key));
  if (own == own_.end()) return;
  const std::string claim = own->second;
  own_.erase(own);
  if (ran == Ran::kYes) Write(NextId(), kRan + claim, now);
  if (ran == Ran::kNo) Release(claim, now);
}

void KeyClaims::Release(const std::string& claim, MonotonicTime now) {
  ++counters_.released;
  Write(NextId(), kReleased + claim, now);
}

void KeyClaims::Write(std::string id, std::string data, MonotonicTime now) {
  // An end that can't be written leaves its key claimed, which is safe.
  if (waiting_.size() >= 2 * options_.max_waiting) return;
  waiting_.push_back({.id = std::move(id), .data = std::move(data)});
  MayAppend(now);
}

void KeyClaims::MayAppend(MonotonicTime now) {
  if (appending_ > 0 || waiting_.empty() || now < next_append_) return;
  appending_ = std::min(waiting_.size(), options_.max_records_per_append);
  ++counters_.appends;
  contracts::AppendRequest request{.stream = kKeyStream,
                                   .timeout = options_.append_timeout};
  request.records.assign(
      waiting_.begin(),
      waiting_.begin() + static_cast<std::ptrdiff_t>(appending_));
  next_append_ = now + options_.append_interval;
  hooks_.append(request);
}

void KeyClaims::OnAppend(const contracts::AppendAnswer& answer,
                         MonotonicTime now) {
  log_out_ = answer.outcome == contracts::AppendOutcome::kNotSent;
  if (answer.outcome == contracts::AppendOutcome::kAppended) {
    waiting_.erase(waiting_.begin(),
                   waiting_.begin() + static_cast<std::ptrdiff_t>(appending_));
  } else {
    // Appended again under the same ids: a reader takes the first only.
    ++counters_.append_failures;
    next_append_ = now + options_.retry_after;
  }
  appending_ = 0;
  MayAppend(now);
}

void KeyClaims::ReadOn(MonotonicTime) {
  next_read_.reset();
  hooks_.read(
      {.stream = kKeyStream, .from = folded_ + 1, .wait = options_.read_wait});
}

void KeyClaims::OnRead(const contracts::ReadAnswer& answer, MonotonicTime now) {
  log_out_ = false;
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
  log_out_ = true;
  next_read_ = now + options_.retry_after;
}

void KeyClaims::Fold(const contracts::LogRecord& record, MonotonicTime now) {
  Forget(record.appended_at);
  if (const std::optional<std::string> key = After(record.data, kClaim)) {
    FoldClaim(record, *key, now);
  } else if (const std::optional<std::string> ran = After(record.data, kRan)) {
    FoldEnd(*ran, true);
  } else if (const std::optional<std::string> released =
                 After(record.data, kReleased)) {
    FoldEnd(*released, false);
  }
}

void KeyClaims::FoldClaim(const contracts::LogRecord& record,
                          const std::string& key, MonotonicTime now) {
  // A record that was appended twice counts once, also after its release.
  if (!seen_.insert(record.id).second) return;
  order_.push_back({.claim = record.id, .at = record.appended_at});
  if (!keys_.contains(key)) {
    keys_[key] = {.claim = record.id};
    claims_[record.id] = key;
  }
  Decide(record, now);
}

// The pending claim with this record's id, if any, is decided by the first
// record with that id.
void KeyClaims::Decide(const contracts::LogRecord& record, MonotonicTime now) {
  const auto found = pending_.find(record.id);
  if (found == pending_.end()) return;
  const Pending pending = found->second;
  pending_.erase(found);
  const Held& held = keys_.at(pending.key);
  if (held.claim != record.id) {
    hooks_.decided(pending.request, held.ran ? ClaimOutcome::kAlreadyRan
                                             : ClaimOutcome::kHeldByAnother);
    return;
  }
  ++counters_.taken;
  own_[pending.key] = record.id;
  if (hooks_.decided(pending.request, ClaimOutcome::kGranted)) return;
  // Its request was refused meanwhile, and never sent.
  own_.erase(pending.key);
  Release(record.id, now);
}

void KeyClaims::FoldEnd(const std::string& claim, bool ran) {
  const auto found = claims_.find(claim);
  if (found == claims_.end()) return;
  if (ran) {
    keys_.at(found->second).ran = true;
    return;
  }
  keys_.erase(found->second);
  claims_.erase(found);
}

void KeyClaims::Forget(WallTime now) {
  while (!order_.empty() && now - order_.front().at >= options_.window) {
    const std::string& claim = order_.front().claim;
    const auto held = claims_.find(claim);
    if (held != claims_.end()) {
      keys_.erase(held->second);
      claims_.erase(held);
    }
    seen_.erase(claim);
    order_.pop_front();
  }
}

void KeyClaims::Tick(MonotonicTime now) {
  MayAppend(now);
  if (next_read_.has_value() && *next_read_ <= now) ReadOn(now);
}

std::optional<MonotonicTime> KeyClaims::NextWake() const {
  std::optional<MonotonicTime> wake = next_read_;
  if (appending_ == 0 && !waiting_.empty() &&
      (!wake.has_value() || next_append_ < *wake)) {
    wake = next_append_;
  }
  return wake;
}

}  // namespace carobmast::requests
