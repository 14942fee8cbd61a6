#include "contracts/service_codec.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <limits>
#include <utility>

#include "framework/base/error.h"
#include "framework/base/json.h"

namespace carobmast::contracts {

namespace json = boost::json;

namespace {

constexpr char kAnswerStep[] = "platform answer";
constexpr char kRequestStep[] = "platform request";
// Longer error texts of a peer are truncated.
constexpr std::size_t kMaxErrorBytes = 512;

// An enum value and its name on the wire.
template <typename Value>
struct NamedValue {
  Value value;
  const char* name;
};

constexpr std::array<NamedValue<WorkerVerb>, 6> kVerbs = {{
    {WorkerVerb::kFence, "fence"},
    {WorkerVerb::kStart, "start"},
    {WorkerVerb::kRenew, "renew"},
    {WorkerVerb::kStop, "stop"},
    {WorkerVerb::kThrottle, "throttle"},
    {WorkerVerb::kForget, "forget"},
}};

constexpr std::array<NamedValue<TaskState>, 5> kTaskStates = {{
    {TaskState::kRunning, "running"},
    {TaskState::kFinished, "finished"},
    {TaskState::kFailed, "failed"},
    {TaskState::kStopped, "stopped"},
    {TaskState::kLeaseExpired, "lease_expired"},
}};

constexpr std::array<NamedValue<TaskKind>, 3> kTaskKinds = {{
    {TaskKind::kService, "service"},
    {TaskKind::kBatch, "batch"},
    {TaskKind::kStanding, "standing"},
}};

constexpr std::array<NamedValue<VmState>, 2> kVmStates = {{
    {VmState::kLive, "live"},
    {VmState::kLeaving, "leaving"},
}};

constexpr std::array<NamedValue<VmRole>, 2> kVmRoles = {{
    {VmRole::kEntry, "entry"},
    {VmRole::kWorker, "worker"},
}};

template <typename Value, std::size_t kSize>
const char* NameOf(const std::array<NamedValue<Value>, kSize>& names,
                   Value value) {
  for (const NamedValue<Value>& named : names) {
    if (named.value == value) return named.name;
  }
  return "";
}

template <typename Value, std::size_t kSize>
Value ParseNamedValue(const std::array<NamedValue<Value>, kSize>& names,
                      std::string_view name, const char* step,
                      const std::string& peer) {
  for (const NamedValue<Value>& named : names) {
    if (name == named.name) return named.value;
  }
  throw Error(step, peer, "unknown value '" + std::string(name) + "'");
}

void CheckCount(std::size_t count, std::size_t max, const char* what,
                const char* step, const std::string& peer) {
  if (count <= max) return;
  throw Error(
      step, peer,
      std::string(what) + ": more than " + std::to_string(max) + " elements");
}

std::uint32_t ReadUnsigned32(const JsonReader& reader, std::string_view field,
                             const char* step, const std::string& peer) {
  const std::uint64_t value = reader.Unsigned(field);
  if (value > std::numeric_limits<std::uint32_t>::max()) {
    throw Error(step, peer, "field '" + std::string(field) + "' is too large");
  }
  return static_cast<std::uint32_t>(value);
}

std::int64_t ToNanoseconds(Duration duration) { return duration.count(); }

Duration ReadNonNegativeDuration(const JsonReader& reader,
                                 std::string_view field, const char* step,
                                 const std::string& peer) {
  const std::int64_t nanoseconds = reader.Int(field);
  if (nanoseconds < 0) {
    throw Error(step, peer, "field '" + std::string(field) + "' is negative");
  }
  return Duration(nanoseconds);
}

WallTime ToWallTime(std::int64_t milliseconds) {
  return WallTime(std::chrono::milliseconds(milliseconds));
}

json::object ToJson(const Resources& resources) {
  return {{"milli_cpus", resources.milli_cpus},
          {"memory_bytes", resources.memory.bytes},
          {"accelerators", resources.accelerators}};
}

Resources ReadResources(const JsonReader& reader, const char* step,
                        const std::string& peer) {
  return {.milli_cpus = reader.Unsigned("milli_cpus"),
          .memory = {reader.Unsigned("memory_bytes")},
          .accelerators = ReadUnsigned32(reader, "accelerators", step, peer)};
}

json::object ToJson(const TaskReport& task) {
  return {{"task", task.id.task},
          {"attempt", task.id.attempt},
          {"state", TaskStateName(task.state)},
          {"reserved", ToJson(task.reserved)},
          {"used", ToJson(task.used)},
          {"checkpoint", task.checkpoint},
          {"endpoint", task.endpoint},
          {"reason", task.reason},
          {"latency_p99_ns", ToNanoseconds(task.latency_p99)}};
}

TaskReport ReadTask(const JsonReader& reader, const std::string& peer) {
  TaskReport task;
  task.id.task = reader.String("task");
  task.id.attempt = ReadUnsigned32(reader, "attempt", kAnswerStep, peer);
  task.state =
      ParseNamedValue(kTaskStates, reader.String("state"), kAnswerStep, peer);
  task.reserved = ReadResources(reader.Object("reserved"), kAnswerStep, peer);
  task.used = ReadResources(reader.Object("used"), kAnswerStep, peer);
  task.checkpoint = reader.String("checkpoint");
  task.endpoint = reader.String("endpoint");
  task.reason = reader.String("reason");
  task.latency_p99 =
      ReadNonNegativeDuration(reader, "latency_p99_ns", kAnswerStep, peer);
  return task;
}

json::object ToJson(const Vm& vm) {
  return {{"name", vm.name},
          {"zone", vm.zone},
          {"rack", vm.rack},
          {"pool", vm.pool},
          {"role", NameOf(kVmRoles, vm.role)},
          {"state", NameOf(kVmStates, vm.state)},
          {"address", vm.address}};
}

Vm ReadVm(const JsonReader& reader, const std::string& peer) {
  return {.name = reader.String("name"),
          .zone = reader.String("zone"),
          .rack = reader.String("rack"),
          .pool = reader.String("pool"),
          .role = ParseNamedValue(kVmRoles, reader.String("role"), kAnswerStep,
                                  peer),
          .state = ParseNamedValue(kVmStates, reader.String("state"),
                                   kAnswerStep, peer),
          .address = reader.String("address")};
}

void CheckOffsets(const ReadAnswer& answer, const ReadRequest& request,
                  const std::string& peer) {
  Offset lowest = std::max(request.from, answer.first_kept);
  for (const LogRecord& record : answer.records) {
    if (record.offset < lowest || record.offset >= answer.next) {
      throw Error(kAnswerStep, peer,
                  "offset " + std::to_string(record.offset) +
                      " is out of order or out of range in stream " +
                      request.stream);
    }
    lowest = record.offset + 1;
  }
}

void AddTaskId(const WorkerCommand& command, json::object& body) {
  body["task"] = command.id.task;
  body["attempt"] = command.id.attempt;
}

void AddStart(const WorkerCommand& command, json::object& body) {
  body["lease_ns"] = ToNanoseconds(command.lease);
  body["kind"] = NameOf(kTaskKinds, command.kind);
  body["resources"] = ToJson(command.resources);
  body["program"] = command.program;
  body["checkpoint"] = command.checkpoint;
  body["slots"] = command.slots;
  body["connections"] = command.connections;
}

void ReadTaskId(const JsonReader& reader, const std::string& peer,
                WorkerCommand& command) {
  command.id.task = reader.String("task");
  command.id.attempt = ReadUnsigned32(reader, "attempt", kRequestStep, peer);
}

void ReadStart(const JsonReader& reader, const std::string& peer,
               WorkerCommand& command) {
  command.lease =
      ReadNonNegativeDuration(reader, "lease_ns", kRequestStep, peer);
  command.kind =
      ParseNamedValue(kTaskKinds, reader.String("kind"), kRequestStep, peer);
  command.resources =
      ReadResources(reader.Object("resources"), kRequestStep, peer);
  command.program = reader.String("program");
  command.checkpoint = reader.String("checkpoint");
  command.slots = ReadUnsigned32(reader, "slots", kRequestStep, peer);
  command.connections =
      ReadUnsigned32(reader, "connections", kRequestStep, peer);
}

// Returns the JSON object in `text`, or an empty one if `text` is anything
// else.
json::object ObjectOrEmpty(std::string_view text) {
  json::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) return {};
  return std::move(value.as_object());
}

}  // namespace

bool IsPathName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameBytes) return false;
  if (name == "." || name == "..") return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
  });
}

std::string EncodeNewRecords(const std::vector<NewRecord>& records) {
  json::array list;
  for (const NewRecord& record : records) {
    list.push_back(json::object{{"id", record.id}, {"data", record.data}});
  }
  return json::serialize(json::object{{"records", std::move(list)}});
}

std::vector<NewRecord> DecodeNewRecords(std::string_view text,
                                        const std::string& peer) {
  const JsonReader reader = JsonReader::Parse(text, kRequestStep, peer);
  const json::array& list = reader.Array("records");
  CheckCount(list.size(), kMaxLogRecords, "records", kRequestStep, peer);
  std::vector<NewRecord> records;
  for (const json::value& value : list) {
    const JsonReader record = reader.Element(value);
    records.push_back(
        {.id = record.String("id"), .data = record.String("data")});
  }
  return records;
}

std::string EncodeOffsets(const std::vector<Offset>& offsets) {
  json::array list;
  for (const Offset offset : offsets) list.emplace_back(offset);
  return json::serialize(json::object{{"offsets", std::move(list)}});
}

std::vector<Offset> DecodeOffsets(std::string_view text,
                                  const std::string& peer) {
  const JsonReader reader = JsonReader::Parse(text, kAnswerStep, peer);
  const json::array& list = reader.Array("offsets");
  CheckCount(list.size(), kMaxLogRecords, "offsets", kAnswerStep, peer);
  std::vector<Offset> offsets;
  for (const json::value& value : list) {
    json::error_code error;
    offsets.push_back(value.to_number<Offset>(error));
    if (error || offsets.back() == 0) {
      throw Error(kAnswerStep, peer, "an offset is not a positive integer");
    }
  }
  return offsets;
}

std::string EncodeReadAnswer(const ReadAnswer& answer) {
  json::array list;
  for (const LogRecord& record : answer.records) {
    list.push_back(
        json::object{{"offset", record.offset},
                     {"time_ms", record.appended_at.time_since_epoch().count()},
                     {"id", record.id},
                     {"data", record.data}});
  }
  return json::serialize(json::object{{"records", std::move(list)},
                                      {"first", answer.first_kept},
                                      {"next", answer.next}});
}

ReadAnswer DecodeReadAnswer(std::string_view text, const ReadRequest& request,
                            const std::string& peer) {
  const JsonReader reader = JsonReader::Parse(text, kAnswerStep, peer);
  const json::array& list = reader.Array("records");
  CheckCount(list.size(), std::min(request.max_records, kMaxLogRecords),
             "records", kAnswerStep, peer);
  ReadAnswer answer;
  answer.first_kept = reader.Unsigned("first");
  answer.next = reader.Unsigned("next");
  for (const json::value& value : list) {
    const JsonReader record = reader.Element(value);
    answer.records.push_back({.offset = record.Unsigned("offset"),
                              .appended_at = ToWallTime(record.Int("time_ms")),
                              .id = record.String("id"),
                              .data = record.String("data")});
  }
  CheckOffsets(answer, request, peer);
  return answer;
}

std::string EncodeVmList(const VmListAnswer& answer) {
  json::array list;
  for (const Vm& vm : answer.vms) list.push_back(ToJson(vm));
  return json::serialize(
      json::object{{"as_of_ms", answer.as_of.time_since_epoch().count()},
                   {"vms", std::move(list)}});
}

VmListAnswer DecodeVmList(std::string_view text, const std::string& peer) {
  const JsonReader reader = JsonReader::Parse(text, kAnswerStep, peer);
  const json::array& list = reader.Array("vms");
  CheckCount(list.size(), kMaxListedVms, "vms", kAnswerStep, peer);
  VmListAnswer answer{.as_of = ToWallTime(reader.Int("as_of_ms"))};
  for (const json::value& value : list) {
    answer.vms.push_back(ReadVm(reader.Element(value), peer));
  }
  return answer;
}

std::string VerbName(WorkerVerb verb) { return NameOf(kVerbs, verb); }

WorkerVerb ParseVerb(std::string_view name, const std::string& peer) {
  return ParseNamedValue(kVerbs, name, kRequestStep, peer);
}

std::string EncodeCommand(const WorkerCommand& command) {
  json::object body{{"token", command.token}};
  switch (command.verb) {
    case WorkerVerb::kFence:
      break;
    case WorkerVerb::kStart:
      AddTaskId(command, body);
      AddStart(command, body);
      break;
    case WorkerVerb::kRenew:
      body["lease_ns"] = ToNanoseconds(command.lease);
      break;
    case WorkerVerb::kStop:
      AddTaskId(command, body);
      body["take_checkpoint"] = command.take_checkpoint;
      break;
    case WorkerVerb::kThrottle:
      AddTaskId(command, body);
      body["throttle"] = command.throttle;
      break;
    case WorkerVerb::kForget:
      AddTaskId(command, body);
      break;
  }
  return json::serialize(body);
}

WorkerCommand DecodeCommand(std::string_view text, WorkerCommand command,
                            const std::string& peer) {
  const JsonReader reader = JsonReader::Parse(text, kRequestStep, peer);
  command.token = reader.Unsigned("token");
  switch (command.verb) {
    case WorkerVerb::kFence:
      break;
    case WorkerVerb::kStart:
      ReadTaskId(reader, peer, command);
      ReadStart(reader, peer, command);
      break;
    case WorkerVerb::kRenew:
      command.lease =
          ReadNonNegativeDuration(reader, "lease_ns", kRequestStep, peer);
      break;
    case WorkerVerb::kStop:
      ReadTaskId(reader, peer, command);
      command.take_checkpoint = reader.Bool("take_checkpoint");
      break;
    case WorkerVerb::kThrottle:
      ReadTaskId(reader, peer, command);
      command.throttle = ReadUnsigned32(reader, "throttle", kRequestStep, peer);
      break;
    case WorkerVerb::kForget:
      ReadTaskId(reader, peer, command);
      break;
  }
  return command;
}

std::string EncodeReport(const WorkerReport& report, const std::string& error) {
  json::array tasks;
  for (const TaskReport& task : report.tasks) tasks.push_back(ToJson(task));
  json::object body{{"worker", report.worker},
                    {"capacity", ToJson(report.capacity)},
                    {"token", report.token},
                    {"tasks", std::move(tasks)}};
  if (!error.empty()) body["error"] = error;
  return json::serialize(body);
}

WorkerReport DecodeReport(std::string_view text, const std::string& peer) {
  const JsonReader reader = JsonReader::Parse(text, kAnswerStep, peer);
  const json::array& list = reader.Array("tasks");
  CheckCount(list.size(), kMaxReportedTasks, "tasks", kAnswerStep, peer);
  WorkerReport report;
  report.worker = reader.String("worker");
  report.capacity = ReadResources(reader.Object("capacity"), kAnswerStep, peer);
  report.token = reader.Unsigned("token");
  for (const json::value& value : list) {
    report.tasks.push_back(ReadTask(reader.Element(value), peer));
  }
  return report;
}

std::string TaskStateName(TaskState state) {
  return NameOf(kTaskStates, state);
}

std::string EncodeRefusal(const std::string& error) {
  return json::serialize(
      json::object{{"error", error}, {"took_effect", false}});
}

bool ReportsNoEffect(std::string_view text) {
  const json::object object = ObjectOrEmpty(text);
  const json::value* took_effect = object.if_contains("took_effect");
  return took_effect != nullptr && took_effect->is_bool() &&
         !took_effect->get_bool();
}

std::string ErrorText(std::string_view text) {
  const json::object object = ObjectOrEmpty(text);
  const json::value* error = object.if_contains("error");
  if (error != nullptr && error->is_string()) {
    return std::string(error->get_string()).substr(0, kMaxErrorBytes);
  }
  return std::string(text.substr(0, kMaxErrorBytes));
}

}  // namespace carobmast::contracts
