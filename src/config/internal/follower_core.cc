#include "config/follower_core.h"

#include <algorithm>
#include <utility>

#include "config/kinds.h"
#include "framework/base/error.h"

namespace carobmast::config {
namespace {

constexpr std::size_t kMaxRecordsPerRead = 200;
constexpr std::size_t kMaxRingRecords = 1000;
constexpr std::size_t kMaxRingBytes = std::size_t{2} * 1024 * 1024;
constexpr std::size_t kPageBytes = std::size_t{512} * 1024;
// Longest compaction of which parts are counted, and how many at once.
constexpr std::size_t kMaxCompactionGroups = 8;
constexpr std::uint32_t kMaxBackoffShift = 6;
constexpr Duration kCompactionRetry = std::chrono::seconds(30);

Duration Backoff(Duration first, Duration last, std::uint32_t failures) {
  const std::uint32_t shift = std::min(failures, kMaxBackoffShift);
  return std::min(last, first * (std::int64_t{1} << shift));
}

// Later changes of an object replace earlier ones.
void JoinChange(Change& joined, const Change& next) {
  const auto forget = [&](const std::string& name) {
    std::erase_if(joined.put,
                  [&](const Object& object) { return NameOf(object) == name; });
    std::erase(joined.remove, name);
  };
  for (const Object& object : next.put) {
    forget(NameOf(object));
    joined.put.push_back(object);
  }
  for (const std::string& name : next.remove) {
    forget(name);
    joined.remove.push_back(name);
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
    peers_.push_back({.info = peer, .next_ask = now});
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
  // After a stop there is nothing to read; ask now and then whether it is out.
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
  NoteCompactions(answer.records);
  const std::vector<Verdict> verdicts = replay_.OnRead(from, answer);
  const bool adopted = verdicts.empty() && fold().head().through != through;
  if (adopted) {
    pending_whole_ = true;
    ring_.clear();
    ring_bytes_ = 0;
    ring_from_ = fold().head().through;
  }
  for (const Verdict& verdict : verdicts) {
    if (verdict.kind != VerdictKind::kAccepted) continue;
    const auto record =
        std::find_if(answer.records.begin(), answer.records.end(),
                     [&](const contracts::LogRecord& r) {
                       return r.offset == verdict.offset;
                     });
    Remember(*record);
  }
  NoteVerdicts(verdicts);
  // A stopped fold or a search without success is not repeated in a hurry.
  const bool idle = fold().stopped().has_value() ||
                    (replay_.seeking() && answer.records.empty());
  next_log_read_ = idle ? now + options_.timing.log_retry_max : now;
  UpdateInForce();
}

void FollowerCore::OnLogError(MonotonicTime now) {
  ++counters_.log_errors;
  next_log_read_ = now + Backoff(options_.timing.log_retry_min,
                                 options_.timing.log_retry_max, log_failures_);
  ++log_failures_;
}

void FollowerCore::NoteVerdicts(const std::vector<Verdict>& verdicts) {
  for (const Verdict& verdict : verdicts) {
    if (options_.on_verdict) options_.on_verdict(verdict);
    if (verdict.kind == VerdictKind::kRefused) ++counters_.records_refused;
    if (verdict.kind != VerdictKind::kAccepted) continue;
    ++counters_.records_accepted;
    JoinChange(pending_, verdict.change);
  }
}

void FollowerCore::NoteCompactions(
    const std::vector<contracts::LogRecord>& records) {
  for (const contracts::LogRecord& record : records) {
    const Record decoded = DecodeRecord(record.data, fold().max_rules());
    const CompactionRecord* part = std::get_if<CompactionRecord>(&decoded);
    if (part == nullptr) {
      if (!whole_at_.has_value()) whole_at_ = record.appended_at;
      continue;
    }
    if (compaction_parts_.size() >= kMaxCompactionGroups &&
        !compaction_parts_.contains(part->group)) {
      compaction_parts_.erase(compaction_parts_.begin());
    }
    std::set<std::uint32_t>& parts = compaction_parts_[part->group];
    parts.insert(part->part);
    if (parts.size() < part->parts) continue;
    whole_at_ = record.appended_at;
    compaction_parts_.erase(part->group);
  }
}

void FollowerCore::Remember(const contracts::LogRecord& record) {
  ring_.push_back(record);
  ring_bytes_ += record.data.size();
  while (ring_.size() > kMaxRingRecords || ring_bytes_ > kMaxRingBytes) {
    ring_from_ = ring_.front().offset;
    ring_bytes_ -= ring_.front().data.size();
    ring_.pop_front();
  }
}

bool FollowerCore::IsUrgent(MonotonicTime now) const {
  return !in_force_.has_value() || !IsLogAvailable(now);
}

Duration FollowerCore::AskInterval(MonotonicTime now, const Peer& peer) {
  const FollowerTiming& timing = options_.timing;
  const bool urgent = IsUrgent(now);
  const Duration base =
      urgent ? timing.peer_interval_urgent : timing.peer_interval;
  const Duration longest =
      urgent ? timing.peer_interval_urgent_max : timing.peer_interval_max;
  const Duration interval = Backoff(base, longest, peer.failures);
  // Spread, so that processes that start together don't ask together.
  std::uniform_int_distribution<Duration::rep> spread(0, interval.count() / 4);
  return interval + Duration(spread(random_));
}

bool FollowerCore::ShouldFetch(MonotonicTime now, const Peer& peer) const {
  if (!peer.head.has_value() || peer.under_way || peer.failures > 0) {
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
  if (best != nullptr && !fetching_.has_value()) {
    step.action = PeerStep::Action::kFetch;
    step.peer = static_cast<std::size_t>(best - peers_.data());
    step.fetch.through = fold().head().through;
    if (pages_.has_value() && pages_->peer == step.peer) {
      step.fetch.page_head = pages_->whole.head;
      step.fetch.page_after = pages_->after;
    }
    fetching_ = step.peer;
    peers_[step.peer].under_way = true;
    return step;
  }
  Peer* next = nullptr;
  for (Peer& peer : peers_) {
    if (peer.under_way) continue;
    if (next == nullptr || peer.next_ask < next->next_ask) next = &peer;
  }
  if (next == nullptr) return step;
  // The interval shortens when the log falls silent.
  const MonotonicTime due =
      IsUrgent(now) && next->failures == 0
          ? std::min(next->next_ask, now + options_.timing.peer_interval_urgent)
          : next->next_ask;
  if (due > now) {
    next->next_ask = due;
    step.at = std::min(step.at, due);
    return step;
  }
  step.action = PeerStep::Action::kHead;
  step.peer = static_cast<std::size_t>(next - peers_.data());
  next->under_way = true;
  return step;
}

void FollowerCore::NoteHead(MonotonicTime now, Peer& peer, const Head& head) {
  const Head& own = fold().head();
  if (head.offset == own.offset && head.digest != own.digest) {
    ++counters_.digest_conflicts;
    return;
  }
  const bool was_ahead =
      peer.head.has_value() && peer.head->offset > own.offset;
  if (head.offset > own.offset && !was_ahead) peer.ahead_since = now;
  peer.head = head;
}

void FollowerCore::OnPeerHead(MonotonicTime now, std::size_t index,
                              const PeerHead& answer) {
  Peer& peer = peers_[index];
  peer.under_way = false;
  peer.asked = true;
  peer.failures = 0;
  NoteHead(now, peer, answer.head);
  peer.next_ask = now + AskInterval(now, peer);
  UpdateInForce();
}

void FollowerCore::OnPeerError(MonotonicTime now, std::size_t index) {
  Peer& peer = peers_[index];
  if (pages_.has_value() && pages_->peer == index) pages_.reset();
  if (fetching_ == index) fetching_.reset();
  peer.under_way = false;
  peer.asked = true;
  // It may hold anything now; it counts again once it answers.
  peer.head.reset();
  ++peer.failures;
  ++counters_.peer_errors;
  peer.next_ask = now + AskInterval(now, peer);
  UpdateInForce();
}

void FollowerCore::OnFetched(MonotonicTime now, std::size_t index,
                             const FetchAnswer& answer) {
  Peer& peer = peers_[index];
  fetching_.reset();
  peer.under_way = false;
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
  NoteHead(now, peer, answer.head);
  const bool moved = fold().head().offset != before.offset;
  if (moved) ++counters_.sets_from_peers;
  // A peer that brings nothing forward is asked again later.
  if (!moved && !pages_.has_value()) {
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
    if (verdicts.back().kind == VerdictKind::kAccepted) Remember(record);
  }
  NoteVerdicts(verdicts);
  const Head& own = fold().head();
  if (own.offset == answer.head.offset && own.digest == answer.head.digest) {
    replay_.fold().AdvanceThrough(answer.head.through);
  }
}

void FollowerCore::OnPage(MonotonicTime, std::size_t peer,
                          const FetchAnswer& answer) {
  const bool same = pages_.has_value() && pages_->peer == peer &&
                    pages_->whole.head.offset == answer.head.offset &&
                    pages_->whole.head.digest == answer.head.digest;
  if (!same) {
    pages_.emplace(Pages{.peer = peer, .whole = {.head = answer.head}});
  }
  for (const std::string& text : answer.objects) {
    pages_->whole.objects.push_back(DecodeStamped(text));
  }
  if (pages_->whole.objects.size() > kMaxObjects) {
    throw Error("config fetch", peers_[peer].info.name, "too many objects");
  }
  pages_->after = answer.page_after;
  if (!answer.last_page) return;
  const WholeSet whole = std::move(pages_->whole);
  pages_.reset();
  replay_.fold().Adopt(whole);
  pending_whole_ = true;
  ring_.clear();
  ring_bytes_ = 0;
  ring_from_ = fold().head().through;
}

PeerHead FollowerCore::OnHeadRequest(MonotonicTime now,
                                     const PeerHead& request) {
  for (Peer& peer : peers_) {
    if (peer.info.name != request.process) continue;
    NoteHead(now, peer, request.head);
    // Who asks can be asked.
    if (peer.failures > 0) peer.next_ask = now;
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
  if (!has_page && request.through >= ring_from_) {
    for (const contracts::LogRecord& record : ring_) {
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

bool FollowerCore::MayComeIntoForce() const {
  const Head& own = fold().head();
  if (own.offset == 0) return false;
  if (in_force_.has_value()) return own.offset > in_force_->offset;
  for (const Peer& peer : peers_) {
    if (peer.head.has_value() && peer.head->offset > own.offset) return false;
  }
  if (replay_.caught_up()) return true;
  // The log is out, or behind what it once held: ask every peer first.
  return std::all_of(peers_.begin(), peers_.end(),
                     [](const Peer& peer) { return peer.asked; });
}

void FollowerCore::UpdateInForce() {
  if (!MayComeIntoForce()) return;
  in_force_ = fold().head();
  InForceSet set{.head = *in_force_,
                 .set = fold().set(),
                 .change = std::move(pending_),
                 .whole = pending_whole_};
  pending_ = Change{};
  pending_whole_ = false;
  if (options_.on_in_force) options_.on_in_force(set);
}

CompactionStep FollowerCore::NextCompaction(MonotonicTime now, WallTime wall) {
  CompactionStep step{.at = now + kCompactionRetry};
  if (now < next_compaction_) step.at = next_compaction_;
  const bool may_write = !compaction_under_way_ && now >= next_compaction_ &&
                         in_force_.has_value() && replay_.caught_up() &&
                         IsLogAvailable(now);
  if (!may_write) return step;
  if (!whole_at_.has_value()) whole_at_ = wall;
  const Duration age = wall - *whole_at_;
  if (age < options_.timing.compact_after + compaction_jitter_) return step;
  compaction_under_way_ = true;
  const Head& head = fold().head();
  const std::string group = "compaction-" + options_.name + "-" +
                            std::to_string(head.through) + "-" +
                            std::to_string(random_());
  step.records = EncodeCompaction(head, fold().set(), group);
  return step;
}

void FollowerCore::OnCompactionEnd(MonotonicTime now, bool appended) {
  compaction_under_way_ = false;
  next_compaction_ = now + kCompactionRetry;
  if (appended) ++counters_.compactions_written;
}

std::vector<PeerStatus> FollowerCore::Peers() const {
  std::vector<PeerStatus> list;
  list.reserve(peers_.size());
  for (const Peer& peer : peers_) {
    list.push_back({.peer = peer.info,
                    .head = peer.head,
                    .reachable = peer.asked && peer.failures == 0});
  }
  return list;
}

}  // namespace carobmast::config
