#include "operators/explain.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <optional>
#include <utility>

#include "config/codec.h"
#include "config/kinds.h"

namespace carobmast::operators {
namespace {

namespace json = boost::json;

// Limit of each list in a result: names, referring objects, changes.
constexpr std::size_t kMaxListedItems = 100;

json::array NamesToJson(const std::vector<std::string>& names) {
  json::array array;
  for (const std::string& name : names) {
    if (array.size() == kMaxListedItems) break;
    array.emplace_back(name);
  }
  return array;
}

std::vector<std::string> Titles(const config::ObjectSet& set,
                                const std::vector<std::string>& names) {
  std::vector<std::string> titles;
  for (const std::string& name : names) {
    const config::ObjectSet::Entry* entry = set.Find(name);
    if (entry != nullptr) titles.push_back(config::Title(entry->kind, name));
  }
  return titles;
}

json::array ReferencesToJson(const config::Object& object) {
  json::array array;
  for (const config::Reference& reference : config::ReferencesOf(object)) {
    array.push_back(
        {{"field", reference.field},
         {"object", config::Title(reference.kind, reference.name)}});
  }
  return array;
}

json::object LastChangeToJson(const config::Stamp& stamp,
                              const History& history) {
  json::object change{{"offset", stamp.offset}, {"at", FormatTime(stamp.at)}};
  for (const HistoryEntry& entry : history.entries()) {
    if (entry.offset == stamp.offset) change["publisher"] = entry.publisher;
  }
  return change;
}

// The tasks that a service or standing worker keeps running, and the properties
// whose change replaces them.
struct StandingTasks {
  std::uint32_t count = 0;
  std::string program;
  std::string pool;
  contracts::Resources resources;
};

std::optional<StandingTasks> StandingTasksOf(const config::Object& object) {
  if (const config::Service* service = std::get_if<config::Service>(&object)) {
    return StandingTasks{service->instances, service->program, service->pool,
                         service->instance};
  }
  if (const config::StandingWorker* worker =
          std::get_if<config::StandingWorker>(&object)) {
    return StandingTasks{worker->replicas, worker->program, worker->pool,
                         worker->task};
  }
  return {};
}

// Number of running tasks that stop when `before` is replaced by `after`, or
// removed when `after` is empty.
std::uint32_t StoppedTasks(const config::Object& before,
                           const std::optional<config::Object>& after) {
  const std::optional<StandingTasks> previous = StandingTasksOf(before);
  if (!previous.has_value()) return 0;
  const std::optional<StandingTasks> updated =
      after.has_value() ? StandingTasksOf(*after) : std::nullopt;
  if (!updated.has_value()) return previous->count;
  const bool replaced = updated->program != previous->program ||
                        updated->pool != previous->pool ||
                        updated->resources != previous->resources;
  if (replaced) return previous->count;
  return previous->count > updated->count ? previous->count - updated->count
                                          : 0;
}

json::array ChangedFields(const json::object& before,
                          const json::object& after) {
  json::array fields;
  for (const json::key_value_pair& entry : after) {
    const json::value* previous = before.if_contains(entry.key());
    if (previous != nullptr && *previous == entry.value()) continue;
    json::object field{{"field", entry.key()}};
    if (previous != nullptr) field["from"] = *previous;
    field["to"] = entry.value();
    fields.push_back(std::move(field));
  }
  for (const json::key_value_pair& entry : before) {
    if (after.contains(entry.key())) continue;
    fields.push_back({{"field", entry.key()},
                      {"from", entry.value()},
                      {"to", "the default"}});
  }
  return fields;
}

json::object DescribePut(const config::ObjectSet& set,
                         const config::Object& after) {
  const std::string& name = config::NameOf(after);
  json::object item{{"object", config::Title(after)}};
  if (set.Find(name) == nullptr) {
    item["change"] = "added";
    return item;
  }
  const config::Object before = set.Get(name);
  item["change"] = "changed";
  item["fields"] =
      ChangedFields(config::ObjectToJson(before), config::ObjectToJson(after));
  const std::uint32_t stopped = StoppedTasks(before, after);
  if (stopped > 0) item["tasks_stopped"] = stopped;
  return item;
}

json::object DescribeRemove(const config::ObjectSet& set,
                            const std::string& name) {
  const config::Object before = set.Get(name);
  json::object item{{"object", config::Title(before)}, {"change", "removed"}};
  const std::uint32_t stopped = StoppedTasks(before, {});
  if (stopped > 0) item["tasks_stopped"] = stopped;
  return item;
}

}  // namespace

void History::Add(const config::Verdict& verdict,
                  const contracts::LogRecord& record) {
  if (verdict.kind == config::VerdictKind::kNoEffect) return;
  HistoryEntry entry{.offset = record.offset,
                     .at = record.appended_at,
                     .id = record.id,
                     .publisher = verdict.publisher,
                     .verdict = "refused",
                     .reason = verdict.reason};
  if (verdict.kind == config::VerdictKind::kAccepted) {
    entry.verdict = "accepted";
  }
  if (verdict.kind == config::VerdictKind::kUnknown) entry.verdict = "unknown";
  for (const config::Object& object : verdict.change.put) {
    entry.put.push_back(config::NameOf(object));
  }
  entry.removed = verdict.change.remove;
  entries_.push_back(std::move(entry));
  if (entries_.size() > max_entries_) entries_.pop_front();
}

std::string FormatTime(WallTime time) {
  const std::int64_t milliseconds = time.time_since_epoch().count();
  const std::time_t seconds = milliseconds / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const std::string fraction = std::to_string(1000 + milliseconds % 1000);
  return std::string(text.data()) + "." + fraction.substr(1) + "Z";
}

json::object HistoryToJson(const HistoryEntry& entry) {
  json::object out{{"offset", entry.offset},
                   {"at", FormatTime(entry.at)},
                   {"id", entry.id},
                   {"publisher", entry.publisher},
                   {"verdict", entry.verdict}};
  if (!entry.reason.empty()) out["reason"] = entry.reason;
  if (!entry.put.empty()) out["put"] = NamesToJson(entry.put);
  if (!entry.removed.empty()) out["removed"] = NamesToJson(entry.removed);
  return out;
}

bool ChangesObject(const HistoryEntry& entry, const std::string& name) {
  return std::find(entry.put.begin(), entry.put.end(), name) !=
             entry.put.end() ||
         std::find(entry.removed.begin(), entry.removed.end(), name) !=
             entry.removed.end();
}

json::object Explain(const config::ConfigFold& fold, const History& history,
                     const std::string& name) {
  const config::ObjectSet& set = fold.set();
  const config::ObjectSet::Entry* entry = set.Find(name);
  json::object out{{"name", name}, {"found", entry != nullptr}};
  out["set_in_force"] = {{"offset", fold.head().offset},
                         {"digest", fold.head().digest}};
  if (entry != nullptr) {
    const config::Object object = set.Get(name);
    const std::vector<std::string> referrers = set.ReferrersOf(name);
    out["object"] = config::ObjectToJson(object);
    out["refers_to"] = ReferencesToJson(object);
    out["referred_to_by"] = NamesToJson(Titles(set, referrers));
    if (referrers.size() > kMaxListedItems) {
      out["referred_to_by_in_all"] = referrers.size();
    }
    out["last_change"] = LastChangeToJson(entry->stamp, history);
  }
  json::array changes;
  for (const HistoryEntry& change : history.entries()) {
    if (change.verdict != "accepted" || !ChangesObject(change, name)) continue;
    changes.push_back({{"offset", change.offset},
                       {"at", FormatTime(change.at)},
                       {"publisher", change.publisher},
                       {"id", change.id}});
    if (changes.size() > kMaxListedItems) changes.erase(changes.begin());
  }
  out["changes"] = std::move(changes);
  return out;
}

json::object Difference(const config::ConfigFold& fold,
                        const config::Objects& wanted) {
  const config::ObjectSet& set = fold.set();
  const config::Change change = set.ChangeTo(wanted);
  json::array items;
  std::uint64_t stopped = 0;
  const auto add = [&](json::object item) {
    const json::value* tasks = item.if_contains("tasks_stopped");
    if (tasks != nullptr) stopped += tasks->to_number<std::uint64_t>();
    items.push_back(std::move(item));
  };
  for (const config::Object& object : change.put) add(DescribePut(set, object));
  for (const std::string& name : change.remove) add(DescribeRemove(set, name));
  json::object out;
  out["set_in_force"] = {{"offset", fold.head().offset},
                         {"digest", fold.head().digest}};
  out["changes"] = std::move(items);
  out["tasks_stopped"] = stopped;
  return out;
}

}  // namespace carobmast::operators
