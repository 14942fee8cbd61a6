#include "work/work_record.h"

#include <array>
#include <utility>

#include "framework/base/error.h"
#include "framework/base/json.h"

namespace carobmast::work {
namespace {

namespace json = boost::json;

constexpr char kStep[] = "work record";

constexpr std::array<std::string_view, 4> kResultNames = {
    "finished", "failed", "released", "cancelled"};
constexpr std::array<std::string_view, 5> kStageNames = {
    "pending", "assigned", "finished", "held", "cancelled"};

template <typename Enum, std::size_t kSize>
Enum ParseName(const std::array<std::string_view, kSize>& names,
               const std::string& name, const std::string& source) {
  for (std::size_t i = 0; i < kSize; ++i) {
    if (names[i] == name) return static_cast<Enum>(i);
  }
  throw Error(kStep, source, "unknown name '" + name + "'");
}

template <std::size_t kSize, typename Enum>
std::string_view NameOf(const std::array<std::string_view, kSize>& names,
                        Enum value) {
  return names[static_cast<std::size_t>(value)];
}

json::array EncodeStrings(const std::vector<std::string>& strings) {
  json::array array;
  for (const std::string& text : strings) array.emplace_back(text);
  return array;
}

std::vector<std::string> DecodeStrings(const json::array& array,
                                       const std::string& source) {
  std::vector<std::string> strings;
  for (const json::value& value : array) {
    if (!value.is_string()) throw Error(kStep, source, "expected a string");
    strings.emplace_back(value.get_string());
  }
  return strings;
}

json::object EncodeResources(const contracts::Resources& resources) {
  return {{"milli_cpus", resources.milli_cpus},
          {"memory", resources.memory.bytes},
          {"accelerators", resources.accelerators}};
}

contracts::Resources DecodeResources(const JsonReader& reader) {
  return {.milli_cpus = reader.Unsigned("milli_cpus"),
          .memory = {.bytes = reader.Unsigned("memory")},
          .accelerators =
              static_cast<std::uint32_t>(reader.Unsigned("accelerators"))};
}

json::object EncodeSpec(const config::BatchJob& spec) {
  return {{"name", spec.name},
          {"team", spec.team},
          {"pool", spec.pool},
          {"program", spec.program},
          {"tasks", spec.tasks},
          {"task", EncodeResources(spec.task)},
          {"expected_run_time_ns", spec.expected_run_time.count()},
          {"max_attempts", spec.max_attempts},
          {"checkpoints", spec.checkpoints},
          {"after", EncodeStrings(spec.after)}};
}

config::BatchJob DecodeSpec(const JsonReader& reader,
                            const std::string& source) {
  return {
      .name = reader.String("name"),
      .team = reader.String("team"),
      .pool = reader.String("pool"),
      .program = reader.String("program"),
      .tasks = static_cast<std::uint32_t>(reader.Unsigned("tasks")),
      .task = DecodeResources(reader.Object("task")),
      .expected_run_time = Duration(reader.Int("expected_run_time_ns")),
      .max_attempts =
          static_cast<std::uint32_t>(reader.Unsigned("max_attempts")),
      .checkpoints = reader.Bool("checkpoints"),
      .after = DecodeStrings(reader.Array("after"), source),
  };
}

json::array EncodeMembers(const std::vector<CellMember>& members) {
  json::array array;
  for (const CellMember& member : members) {
    array.push_back(json::object{{"worker", member.worker},
                                 {"address", member.address},
                                 {"pool", member.pool},
                                 {"added_at", member.added_at}});
  }
  return array;
}

std::vector<CellMember> DecodeMembers(const JsonReader& reader,
                                      std::string_view field) {
  std::vector<CellMember> members;
  for (const json::value& value : reader.Array(field)) {
    const JsonReader item = reader.Element(value);
    members.push_back({.worker = item.String("worker"),
                       .address = item.String("address"),
                       .pool = item.String("pool"),
                       .added_at = item.UnsignedOr("added_at", 0)});
  }
  return members;
}

json::array EncodeResults(const std::vector<ResultEntry>& results) {
  json::array array;
  for (const ResultEntry& entry : results) {
    json::object item{{"task", entry.id.task},
                      {"attempt", entry.id.attempt},
                      {"result", NameOf(kResultNames, entry.result)}};
    if (!entry.checkpoint.empty()) item["checkpoint"] = entry.checkpoint;
    if (!entry.reason.empty()) item["reason"] = entry.reason;
    array.push_back(std::move(item));
  }
  return array;
}

std::vector<ResultEntry> DecodeResults(const JsonReader& reader,
                                       const std::string& source) {
  std::vector<ResultEntry> results;
  for (const json::value& value : reader.Array("results")) {
    const JsonReader item = reader.Element(value);
    results.push_back({.id = {.task = item.String("task"),
                              .attempt = static_cast<std::uint32_t>(
                                  item.Unsigned("attempt"))},
                       .result = ParseName<TaskResult>(
                           kResultNames, item.String("result"), source),
                       .checkpoint = item.StringOr("checkpoint", ""),
                       .reason = item.StringOr("reason", "")});
  }
  return results;
}

json::array EncodeCheckpoints(const std::vector<KnownCheckpoint>& checkpoints) {
  json::array array;
  for (const KnownCheckpoint& known : checkpoints) {
    array.push_back(
        json::object{{"task", known.task}, {"checkpoint", known.checkpoint}});
  }
  return array;
}

std::vector<KnownCheckpoint> DecodeCheckpoints(const JsonReader& reader) {
  std::vector<KnownCheckpoint> checkpoints;
  if (!reader.Has("checkpoints")) return checkpoints;
  for (const json::value& value : reader.Array("checkpoints")) {
    const JsonReader item = reader.Element(value);
    checkpoints.push_back(
        {.task = item.String("task"), .checkpoint = item.String("checkpoint")});
  }
  return checkpoints;
}

json::array EncodeCells(const std::vector<CellSnapshot>& cells) {
  json::array array;
  for (const CellSnapshot& cell : cells) {
    array.push_back(json::object{{"cell", cell.cell},
                                 {"zone", cell.zone},
                                 {"owner", cell.owner},
                                 {"token", cell.token},
                                 {"claims", cell.claims},
                                 {"members", EncodeMembers(cell.members)}});
  }
  return array;
}

std::vector<CellSnapshot> DecodeCells(const JsonReader& reader) {
  std::vector<CellSnapshot> cells;
  for (const json::value& value : reader.Array("cells")) {
    const JsonReader item = reader.Element(value);
    cells.push_back(
        {.cell = item.String("cell"),
         .zone = item.String("zone"),
         .owner = item.String("owner"),
         .token = item.Unsigned("token"),
         .claims = static_cast<std::uint32_t>(item.Unsigned("claims")),
         .members = DecodeMembers(item, "members")});
  }
  return cells;
}

json::array EncodeJobs(const std::vector<JobSnapshot>& jobs) {
  json::array array;
  for (const JobSnapshot& job : jobs) {
    array.push_back(json::object{{"submission", job.submit.submission},
                                 {"spec", EncodeSpec(job.submit.spec)},
                                 {"offset", job.offset},
                                 {"cancelled", job.cancelled},
                                 {"ended_at_ms", job.ended_at_ms}});
  }
  return array;
}

std::vector<JobSnapshot> DecodeJobs(const JsonReader& reader,
                                    const std::string& source) {
  std::vector<JobSnapshot> jobs;
  for (const json::value& value : reader.Array("jobs")) {
    const JsonReader item = reader.Element(value);
    jobs.push_back({.submit = {.submission = item.String("submission"),
                               .spec = DecodeSpec(item.Object("spec"), source)},
                    .offset = item.Unsigned("offset"),
                    .cancelled = item.Bool("cancelled"),
                    .ended_at_ms = item.Int("ended_at_ms")});
  }
  return jobs;
}

json::array EncodeTasks(const std::vector<TaskSnapshot>& tasks) {
  json::array array;
  for (const TaskSnapshot& task : tasks) {
    json::object item{{"task", task.task},
                      {"stage", NameOf(kStageNames, task.stage)},
                      {"first_attempt", task.first_attempt},
                      {"next_attempt", task.next_attempt}};
    if (!task.cell.empty()) item["cell"] = task.cell;
    if (task.taken_at != 0) item["taken_at"] = task.taken_at;
    if (task.failures != 0) item["failures"] = task.failures;
    if (!task.checkpoint.empty()) item["checkpoint"] = task.checkpoint;
    if (!task.reason.empty()) item["reason"] = task.reason;
    array.push_back(std::move(item));
  }
  return array;
}

std::vector<TaskSnapshot> DecodeTasks(const JsonReader& reader,
                                      const std::string& source) {
  std::vector<TaskSnapshot> tasks;
  for (const json::value& value : reader.Array("tasks")) {
    const JsonReader item = reader.Element(value);
    tasks.push_back(
        {.task = item.String("task"),
         .stage =
             ParseName<TaskStage>(kStageNames, item.String("stage"), source),
         .cell = item.StringOr("cell", ""),
         .taken_at = item.UnsignedOr("taken_at", 0),
         .first_attempt =
             static_cast<std::uint32_t>(item.Unsigned("first_attempt")),
         .next_attempt =
             static_cast<std::uint32_t>(item.Unsigned("next_attempt")),
         .failures = static_cast<std::uint32_t>(item.UnsignedOr("failures", 0)),
         .checkpoint = item.StringOr("checkpoint", ""),
         .reason = item.StringOr("reason", "")});
  }
  return tasks;
}

json::array EncodeSchedulers(const std::vector<SchedulerSnapshot>& schedulers) {
  json::array array;
  for (const SchedulerSnapshot& scheduler : schedulers) {
    array.push_back(json::object{{"scheduler", scheduler.scheduler},
                                 {"zone", scheduler.zone},
                                 {"last_offset", scheduler.last_offset},
                                 {"last_at_ms", scheduler.last_at_ms}});
  }
  return array;
}

std::vector<SchedulerSnapshot> DecodeSchedulers(const JsonReader& reader) {
  std::vector<SchedulerSnapshot> schedulers;
  for (const json::value& value : reader.Array("schedulers")) {
    const JsonReader item = reader.Element(value);
    schedulers.push_back({.scheduler = item.String("scheduler"),
                          .zone = item.String("zone"),
                          .last_offset = item.Unsigned("last_offset"),
                          .last_at_ms = item.Int("last_at_ms")});
  }
  return schedulers;
}

json::array EncodeFinished(const std::vector<FinishedName>& names) {
  json::array array;
  for (const FinishedName& name : names) {
    array.push_back(
        json::object{{"job", name.job}, {"submission", name.submission}});
  }
  return array;
}

std::vector<FinishedName> DecodeFinished(const JsonReader& reader) {
  std::vector<FinishedName> names;
  for (const json::value& value : reader.Array("finished_names")) {
    const JsonReader item = reader.Element(value);
    names.push_back(
        {.job = item.String("job"), .submission = item.String("submission")});
  }
  return names;
}

HeartbeatRecord DecodeHeartbeat(const JsonReader& reader) {
  return {.scheduler = reader.String("scheduler"),
          .zone = reader.String("zone")};
}

struct Encoder {
  json::object operator()(const SubmitRecord& record) const {
    return {{"kind", "submit"},
            {"submission", record.submission},
            {"spec", EncodeSpec(record.spec)}};
  }
  json::object operator()(const CancelRecord& record) const {
    return {{"kind", "cancel"}, {"submission", record.submission}};
  }
  json::object operator()(const HeartbeatRecord& record) const {
    return {{"kind", "heartbeat"},
            {"scheduler", record.scheduler},
            {"zone", record.zone}};
  }
  json::object operator()(const ClaimRecord& record) const {
    return {{"kind", "claim"},
            {"cell", record.cell},
            {"zone", record.zone},
            {"scheduler", record.scheduler},
            {"previous", record.previous}};
  }
  json::object operator()(const RelinquishRecord& record) const {
    return {{"kind", "relinquish"},
            {"cell", record.cell},
            {"token", record.token},
            {"checkpoints", EncodeCheckpoints(record.checkpoints)}};
  }
  json::object operator()(const MembersRecord& record) const {
    return {{"kind", "members"},
            {"cell", record.cell},
            {"token", record.token},
            {"add", EncodeMembers(record.add)},
            {"remove", EncodeMembers(record.remove)}};
  }
  json::object operator()(const TakeRecord& record) const {
    return {{"kind", "take"},
            {"cell", record.cell},
            {"token", record.token},
            {"tasks", EncodeStrings(record.tasks)}};
  }
  json::object operator()(const ResultsRecord& record) const {
    return {{"kind", "results"},
            {"cell", record.cell},
            {"token", record.token},
            {"results", EncodeResults(record.results)}};
  }
  json::object operator()(const SnapshotRecord& record) const {
    return {{"kind", "snapshot"},
            {"snapshot", record.snapshot},
            {"base", record.base},
            {"part", record.part},
            {"parts", record.parts},
            {"cells", EncodeCells(record.cells)},
            {"jobs", EncodeJobs(record.jobs)},
            {"tasks", EncodeTasks(record.tasks)},
            {"schedulers", EncodeSchedulers(record.schedulers)},
            {"finished_names", EncodeFinished(record.finished_names)}};
  }
  json::object operator()(const UnknownRecord& record) const {
    return {{"kind", record.kind}};
  }
};

WorkRecord DecodeKind(const JsonReader& reader, const std::string& source) {
  const std::string kind = reader.String("kind");
  if (kind == "submit") {
    return SubmitRecord{.submission = reader.String("submission"),
                        .spec = DecodeSpec(reader.Object("spec"), source)};
  }
  if (kind == "cancel") {
    return CancelRecord{.submission = reader.String("submission")};
  }
  if (kind == "heartbeat") return DecodeHeartbeat(reader);
  if (kind == "claim") {
    return ClaimRecord{.cell = reader.String("cell"),
                       .zone = reader.String("zone"),
                       .scheduler = reader.String("scheduler"),
                       .previous = reader.Unsigned("previous")};
  }
  if (kind == "relinquish") {
    return RelinquishRecord{.cell = reader.String("cell"),
                            .token = reader.Unsigned("token"),
                            .checkpoints = DecodeCheckpoints(reader)};
  }
  if (kind == "members") {
    return MembersRecord{.cell = reader.String("cell"),
                         .token = reader.Unsigned("token"),
                         .add = DecodeMembers(reader, "add"),
                         .remove = DecodeMembers(reader, "remove")};
  }
  if (kind == "take") {
    return TakeRecord{.cell = reader.String("cell"),
                      .token = reader.Unsigned("token"),
                      .tasks = DecodeStrings(reader.Array("tasks"), source)};
  }
  if (kind == "results") {
    return ResultsRecord{.cell = reader.String("cell"),
                         .token = reader.Unsigned("token"),
                         .results = DecodeResults(reader, source)};
  }
  if (kind == "snapshot") {
    return SnapshotRecord{
        .snapshot = reader.String("snapshot"),
        .base = reader.Unsigned("base"),
        .part = static_cast<std::uint32_t>(reader.Unsigned("part")),
        .parts = static_cast<std::uint32_t>(reader.Unsigned("parts")),
        .cells = DecodeCells(reader),
        .jobs = DecodeJobs(reader, source),
        .tasks = DecodeTasks(reader, source),
        .schedulers = DecodeSchedulers(reader),
        .finished_names = DecodeFinished(reader)};
  }
  return UnknownRecord{.kind = kind};
}

}  // namespace

std::string EncodeRecord(const WorkRecord& record) {
  json::object object = std::visit(Encoder{}, record);
  object["format"] = kWorkFormat;
  return json::serialize(object);
}

WorkRecord DecodeRecord(std::string_view text, const std::string& source) {
  if (text.size() > kMaxRecordBytes) {
    throw Error(kStep, source, "record is longer than 1 MiB");
  }
  const JsonReader reader = JsonReader::Parse(text, kStep, source);
  const std::uint64_t format = reader.Unsigned("format");
  if (format > kWorkFormat) {
    throw Error(kStep, source,
                "format " + std::to_string(format) + " is not supported");
  }
  return DecodeKind(reader, source);
}

contracts::NewRecord MakeSubmit(const std::string& submission,
                                const config::BatchJob& spec) {
  return {.id = "submit-" + submission,
          .data = EncodeRecord(
              SubmitRecord{.submission = submission, .spec = spec})};
}

contracts::NewRecord MakeCancel(const std::string& submission) {
  return {.id = "cancel-" + submission,
          .data = EncodeRecord(CancelRecord{.submission = submission})};
}

}  // namespace carobmast::work
