#include "config/follower_core.h"

#include <algorithm>
#include <utility>

#include "config/kinds.h"
#include "framework/base/error.h"

namespace carobmast::config {
namespace {

constexpr std::size_t kMaxRecordsPerRead = 200;
constexpr std::size_t kMaxRecentRecords = 1000;
constexpr std::size_t kMaxRecentBytes = std::size_t{2} * 1024 * 1024;
constexpr std::size_t kPageBytes = std::size_t{512} * 1024;
// Incomplete compactions of which parts are tracked.
constexpr std::size_t kMaxCompactionGroups = 8;
constexpr std::uint32_t kMaxBackoffShift = 6;

Duration Backoff(Duration first, Duration last, std::uint32_t failures) {
  const std::uint32_t shift = std::min(failures, kMaxBackoffShift);
  return std::min(last, first * (std::int64_t{1} << shift));
}

// Adds `next` to `merged`; later changes of an object replace earlier ones.
void MergeChange(Change& merged, const Change& next) {
  const auto discard = [&](const std::string& name) {
    std::erase_if(merged.put,
                  [&](const Object& object) { return NameOf(object) == name; });
    std::erase(merged.remove, name);
  };
  for (const Object& object : next.put) {
    discard(NameOf(object));
    merged.put.push_back(object);
  }
  for (const std::string& name : next.remove) {
    discard(name);
    merged.remove.push_back(name);
  }
}

}  // namespace

FollowerCore::FollowerCore(FollowerCoreOptions options, MonotonicTime now)
    : options_(std::move(options)),
      replay_(options_.rules),
      random_(options_.seed),
      started_at_(now),
      next_log_read_(now),
      compaction_jitter_(options_.timing.compact_after / 4),
      next_compaction_(now) {
  for (const FollowerPeer& peer : options_.peers) {
    peers_.push_back({.info = peer, .next_head_call = now});
  }
  std::uniform_int_distribution<Duration::rep> jitter(
      0, compaction_jitter_.count());
  compaction_jitter_ = Duration(jitter(random_));
}

bool FollowerCore::IsLogAvailable(MonotonicTime now) const {
  return now - last_log_answer_.value_or(started_at_) <=
         options_.timing.log_silence;
}

LogStep FollowerCore::NextLogRead(MonotonicTime now) const {
  // A stopped fold needs no records. Short reads continue, to notice when the
  // log becomes unavailable.
  if (now < next_log_read_) return {.at = next_log_read_};
  contracts::ReadRequest read{.stream = contracts::kConfigStream,
                              .from = replay_.NextRead(),
                              .max_records = kMaxRecordsPerRead,
                              .wait = options_.timing.log_wait,
                              .timeout = options_.timing.log_timeout};
  if (fold().stopped().has_value()) read.max_records = 1;
  return {.read = std::move(read), .at = now};
}

void FollowerCore::OnLogAnswer(MonotonicTime now, contracts::Offset from,
                               const contracts::ReadAnswer& answer) {
  last_log_answer_ = now;
  log_failures_ = 0;
  const contracts::Offset through = fold().head().through;
  TrackCompactions(answer.records);
  const std::vector<Verdict> verdicts = replay_.OnRead(from, answer);
  const bool adopted = verdicts.empty() && fold().head().through != through;
  if (adopted) {
    pending_whole_ = true;
    recent_records_.clear();
    recent_bytes_ = 0;
    recent_from_ = fold().head().through;
  }
  for (const Verdict& verdict : verdicts) {
    if (verdict.kind != VerdictKind::kAccepted) continue;
    const auto record =
        std::find_if(answer.records.begin(), answer.records.end(),
                     [&](const contracts::LogRecord& r) {
                       return r.offset == verdict.offset;
                     });
    KeepForPeers(*record);
  }
  ReportVerdicts(verdicts);
  // Reads pause while folding has stopped or a search found no more records.
  const bool idle = fold().stopped().has_value() ||
                    (replay_.searching() && answer.records.empty());
  next_log_read_ = idle ? now + options_.timing.log_retry_max : now;
  UpdateInForce();
}

void FollowerCore::OnLogError(MonotonicTime now) {
  ++counters_.log_errors;
  next_log_read_ = now + Backoff(options_.timing.log_retry_min,
                                 options_.timing.log_retry_max, log_failures_);
  ++log_failures_;
}

void FollowerCore::ReportVerdicts(const std::vector<Verdict>& verdicts) {
  for (const Verdict& verdict : verdicts) {
    if (options_.on_verdict) options_.on_verdict(verdict);
    if (verdict.kind == VerdictKind::kRefused) ++counters_.records_refused;
    if (verdict.kind != VerdictKind::kAccepted) continue;
    ++counters_.records_accepted;
    MergeChange(pending_change_, verdict.change);
  }
}

void FollowerCore::TrackCompactions(
    const std::vector<contracts::LogRecord>& records) {
  for (const contracts::LogRecord& record : records) {
    const Record decoded = DecodeRecord(record.data, fold().max_rules());
    const CompactionRecord* part = std::get_if<CompactionRecord>(&decoded);
    if (part == nullptr) {
      if (!last_compaction_at_.has_value()) {
        last_compaction_at_ = record.appended_at;
      }
      continue;
    }
    if (compaction_parts_.size() >= kMaxCompactionGroups &&
        !compaction_parts_.contains(part->group)) {
      compaction_parts_.erase(compaction_parts_.begin());
    }
    std::set<std::uint32_t>& parts = compaction_parts_[part->group];
    parts.insert(part->part);
    if (parts.size() < part->parts) continue;
    last_compaction_at_ = record.appended_at;
    compaction_parts_.erase(part->group);
  }
}

void FollowerCore::KeepForPeers(const contracts::LogRecord& record) {
  recent_records_.push_back(record);
  recent_bytes_ += record.data.size();
  while (recent_records_.size() > kMaxRecentRecords ||
         recent_bytes_ > kMaxRecentBytes) {
    recent_from_ = recent_records_.front().offset;
    recent_bytes_ -= recent_records_.front().data.size();
    recent_records_.pop_front();
  }
}

bool FollowerCore::IsUrgent(MonotonicTime now) const {
  return !in_force_.has_value() || !IsLogAvailable(now);
}

Duration FollowerCore::HeadCallInterval(MonotonicTime now, const Peer& peer) {
  const FollowerTiming& timing = options_.timing;
  const bool urgent = IsUrgent(now);
  const Duration base =
      urgent ? timing.peer_interval_urgent : timing.peer_interval;
  const Duration longest =
      urgent ? timing.peer_interval_urgent_max : timing.peer_interval_max;
  const Duration interval = Backoff(base, longest, peer.failures);
  // Random spread, so that processes started together don't call together.
  std::uniform_int_distribution<Duration::rep> spread(0, interval.count() / 4);
  return interval + Duration(spread(random_));
}

bool FollowerCore::ShouldFetch(MonotonicTime now, const Peer& peer) const {
  if (!peer.head.has_value() || peer.call_in_flight || peer.failures > 0) {
    return false;
  }
  if (peer.head->offset <= fold().head().offset) return false;
  if (!options_.rules.contains(peer.head->rules)) return false;
  if (!IsLogAvailable(now)) return true;
  return now - peer.ahead_since >= options_.timing.log_grace;
}

PeerStep FollowerCore::NextPeerCall(MonotonicTime now) {
  PeerStep step{.at = now + options_.timing.peer_interval_urgent};
  const Peer* best = nullptr;
  contracts::Offset best_offset = 0;
  for (const Peer& peer : peers_) {
    if (!ShouldFetch(now, peer)) continue;
    const contracts::Offset offset = peer.head.value_or(Head{}).offset;
    if (best != nullptr && offset <= best_offset) continue;
    best = &peer;
    best_offset = offset;
  }
  if (best != nullptr && !fetch_peer_.has_value()) {
    step.action = PeerStep::Action::kFetch;
    step.peer = static_cast<std::size_t>(best - peers_.data());
    step.fetch.through = fold().head().through;
    if (paged_fetch_.has_value() && paged_fetch_->peer == step.peer) {
      step.fetch.page_head = paged_fetch_->whole.head;
      step.fetch.page_after = paged_fetch_->after;
    }
    fetch_peer_ = step.peer;
    peers_[step.peer].call_in_flight = true;
    return step;
  }
  Peer* next = nullptr;
  for (Peer& peer : peers_) {
    if (peer.call_in_flight) continue;
    if (next == nullptr || peer.next_head_call < next->next_head_call) {
      next = &peer;
    }
  }
  if (next == nullptr) return step;
  // Shortens an interval that was chosen before the log became unavailable.
  const MonotonicTime due =
      IsUrgent(now) && next->failures == 0
          ? std::min(next->next_head_call,
                     now + options_.timing.peer_interval_urgent)
          : next->next_head_call;
  if (due > now) {
    next->next_head_call = due;
    step.at = std::min(step.at, due);
    return step;
  }
  step.action = PeerStep::Action::kHead;
  step.peer = static_cast<std::size_t>(next - peers_.data());
  next->call_in_flight = true;
  return step;
}

void FollowerCore::UpdatePeerHead(MonotonicTime now, Peer& peer,
                                  const Head& head) {
  const Head& local = fold().head();
  if (head.offset == local.offset && head.digest != local.digest) {
    ++counters_.digest_conflicts;
    return;
  }
  const bool was_ahead =
      peer.head.has_value() && peer.head->offset > local.offset;
  if (head.offset > local.offset && !was_ahead) peer.ahead_since = now;
  peer.head = head;
}

void FollowerCore::OnPeerHead(MonotonicTime now, std::size_t index,
                              const PeerHead& answer) {
  Peer& peer = peers_[index];
  peer.call_in_flight = false;
  peer.attempted = true;
  peer.failures = 0;
  UpdatePeerHead(now, peer, answer.head);
  peer.next_head_call = now + HeadCallInterval(now, peer);
  UpdateInForce();
}

void FollowerCore::OnPeerError(MonotonicTime now, std::size_t index) {
  Peer& peer = peers_[index];
  if (paged_fetch_.has_value() && paged_fetch_->peer == index) {
    paged_fetch_.reset();
  }
  if (fetch_peer_ == index) fetch_peer_.reset();
  peer.call_in_flight = false;
  peer.attempted = true;
  // The peer's head is unknown until it answers again.
  peer.head.reset();
  ++peer.failures;
  ++counters_.peer_errors;
  peer.next_head_call = now + HeadCallInterval(now, peer);
  UpdateInForce();
}

void FollowerCore::OnFetched(MonotonicTime now, std::size_t index,
                             const FetchAnswer& answer) {
  Peer& peer = peers_[index];
  fetch_peer_.reset();
  peer.call_in_flight = false;
  peer.failures = 0;
  const Head before = fold().head();
  try {
    if (answer.whole) {
      OnPage(now, index, answer);
    } else {
      OnRecords(now, answer);
    }
  } catch (const Error&) {
    OnPeerError(now, index);
    return;
  }
  UpdatePeerHead(now, peer, answer.head);
  const bool advanced = fold().head().offset != before.offset;
  if (advanced) ++counters_.sets_from_peers;
  // A peer whose answer brings no newer set is called again after a backoff.
  if (!advanced && !paged_fetch_.has_value()) {
    OnPeerError(now, index);
    return;
  }
  UpdateInForce();
}

void FollowerCore::OnRecords(MonotonicTime, const FetchAnswer& answer) {
  std::vector<Verdict> verdicts;
  for (const contracts::LogRecord& record : answer.records) {
    if (record.offset <= fold().head().through) continue;
    verdicts.push_back(replay_.fold().OnRecord(record));
    if (verdicts.back().kind == VerdictKind::kAccepted) KeepForPeers(record);
  }
  ReportVerdicts(verdicts);
  const Head& local = fold().head();
  if (local.offset == answer.head.offset &&
      local.digest == answer.head.digest) {
    replay_.fold().AdvanceThrough(answer.head.through);
  }
}

void FollowerCore::OnPage(MonotonicTime, std::size_t peer,
                          const FetchAnswer& answer) {
  const bool same_set = paged_fetch_.has_value() &&
                        paged_fetch_->peer == peer &&
                        paged_fetch_->whole.head.offset == answer.head.offset &&
                        paged_fetch_->whole.head.digest == answer.head.digest;
  if (!same_set) {
    paged_fetch_.emplace(
        PagedFetch{.peer = peer, .whole = {.head = answer.head}});
  }
  for (const std::string& text : answer.objects) {
    paged_fetch_->whole.objects.push_back(DecodeStamped(text));
  }
  if (paged_fetch_->whole.objects.size() > kMaxObjects) {
    throw Error("config fetch", peers_[peer].info.name, "too many objects");
  }
  paged_fetch_->after = answer.page_after;
  if (!answer.last_page) return;
  const WholeSet whole = std::move(paged_fetch_->whole);
  paged_fetch_.reset();
  replay_.fold().Adopt(whole);
  pending_whole_ = true;
  recent_records_.clear();
  recent_bytes_ = 0;
  recent_from_ = fold().head().through;
}

PeerHead FollowerCore::OnHeadRequest(MonotonicTime now,
                                     const PeerHead& request) {
  for (Peer& peer : peers_) {
    if (peer.info.name != request.process) continue;
    UpdatePeerHead(now, peer, request.head);
    // A peer that sends requests is reachable, so its backoff ends.
    if (peer.failures > 0) peer.next_head_call = now;
    peer.failures = 0;
  }
  return {.process = options_.name, .head = fold().head()};
}

FetchAnswer FollowerCore::OnFetchRequest(const FetchRequest& request) const {
  FetchAnswer answer{.head = fold().head()};
  const bool has_page = request.page_head.has_value() &&
                        request.page_head->offset == answer.head.offset &&
                        request.page_head->digest == answer.head.digest;
  std::size_t bytes = 0;
  if (!has_page && request.through >= recent_from_) {
    for (const contracts::LogRecord& record : recent_records_) {
      if (record.offset <= request.through) continue;
      if (bytes > 0 && bytes + record.data.size() > kPageBytes) break;
      answer.records.push_back(record);
      bytes += record.data.size();
    }
    return answer;
  }
  answer.whole = true;
  answer.last_page = true;
  fold().set().ForEachAfter(has_page ? request.page_after : "",
                            [&](const StampedObject& object) {
                              if (bytes > kPageBytes) {
                                answer.last_page = false;
                                return false;
                              }
                              answer.objects.push_back(EncodeStamped(object));
                              answer.page_after = NameOf(object.object);
                              bytes += answer.objects.back().size();
                              return true;
                            });
  return answer;
}

bool FollowerCore::CanComeIntoForce() const {
  const Head& local = fold().head();
  if (local.offset == 0) return false;
  if (in_force_.has_value()) return local.offset > in_force_->offset;
  for (const Peer& peer : peers_) {
    if (peer.head.has_value() && peer.head->offset > local.offset) return false;
  }
  if (replay_.caught_up()) return true;
  // The log is unavailable or has a gap, so any peer may hold a newer set: wait
  // until each has been called.
  return std::all_of(peers_.begin(), peers_.end(),
                     [](const Peer& peer) { return peer.attempted; });
}

void FollowerCore::UpdateInForce() {
  if (!CanComeIntoForce()) return;
  in_force_ = fold().head();
  InForceSet set{.head = *in_force_,
                 .set = fold().set(),
                 .change = std::move(pending_change_),
                 .whole = pending_whole_};
  pending_change_ = Change{};
  pending_whole_ = false;
  if (options_.on_in_force) options_.on_in_force(set);
}

CompactionStep FollowerCore::NextCompaction(MonotonicTime now, WallTime wall) {
  CompactionStep step{.at = now + options_.timing.compaction_pause};
  if (now < next_compaction_) step.at = next_compaction_;
  const bool may_write = !compaction_in_flight_ && now >= next_compaction_ &&
                         in_force_.has_value() && replay_.caught_up() &&
                         IsLogAvailable(now);
  if (!may_write) return step;
  if (!last_compaction_at_.has_value()) last_compaction_at_ = wall;
  const Duration age = wall - *last_compaction_at_;
  if (age < options_.timing.compact_after + compaction_jitter_) return step;
  compaction_in_flight_ = true;
  const Head& head = fold().head();
  const std::string group = "compaction-" + options_.name + "-" +
                            std::to_string(head.through) + "-" +
                            std::to_string(random_());
  step.records = EncodeCompaction(head, fold().set(), group);
  return step;
}

void FollowerCore::OnCompactionEnd(MonotonicTime now, bool appended) {
  compaction_in_flight_ = false;
  next_compaction_ = now + options_.timing.compaction_pause;
  if (appended) ++counters_.compactions_written;
}

std::vector<PeerStatus> FollowerCore::Peers() const {
  std::vector<PeerStatus> list;
  list.reserve(peers_.size());
  for (const Peer& peer : peers_) {
    list.push_back({.peer = peer.info,
                    .head = peer.head,
                    .reachable = peer.attempted && peer.failures == 0});
  }
  return list;
}

}  // namespace carobmast::config
