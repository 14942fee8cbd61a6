// The platform's wire format: JSON text for the data in types/. The adapters in
// http_services.h and the stand-in platform both use it.
//
// Every string on the wire is UTF-8. Every Decode function throws Error (step
// "platform answer" or "platform request", peer `peer`) when the text is
// malformed, a field is missing or mistyped, or a bound is passed.
#ifndef CAROBMAST_CONTRACTS_SERVICE_CODEC_H_
#define CAROBMAST_CONTRACTS_SERVICE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "contracts/types/log_record.h"
#include "contracts/types/vm.h"
#include "contracts/types/worker.h"

namespace carobmast::contracts {

// Bounds on what one message may hold.
inline constexpr std::size_t kMaxLogRecords = 10'000;
inline constexpr std::size_t kMaxListedVms = 100'000;
inline constexpr std::size_t kMaxReportedTasks = 10'000;
inline constexpr std::size_t kMaxNameBytes = 256;

// Whether `name` may stand in a path: 1 to kMaxNameBytes letters, digits, '.',
// '_' or '-'.
bool IsPathName(std::string_view name);

// Body of POST /log/STREAM.
std::string EncodeNewRecords(const std::vector<NewRecord>& records);
std::vector<NewRecord> DecodeNewRecords(std::string_view text,
                                        const std::string& peer);

// Answer to POST /log/STREAM.
std::string EncodeOffsets(const std::vector<Offset>& offsets);
std::vector<Offset> DecodeOffsets(std::string_view text,
                                  const std::string& peer);

// Answer to GET /log/STREAM. Refuses offsets that don't grow from `from` on or
// that lie outside of what the service says it keeps.
std::string EncodeReadAnswer(const ReadAnswer& answer);
ReadAnswer DecodeReadAnswer(std::string_view text, const ReadRequest& request,
                            const std::string& peer);

// Answer to GET /vms.
std::string EncodeVmList(const VmListAnswer& answer);
VmListAnswer DecodeVmList(std::string_view text, const std::string& peer);

// The VERB of POST /workers/NAME/VERB.
std::string VerbName(WorkerVerb verb);
// Throws Error when no verb has this name.
WorkerVerb ParseVerb(std::string_view name, const std::string& peer);

// Body of POST /workers/NAME/VERB: the fields that the verb uses.
std::string EncodeCommand(const WorkerCommand& command);
// `command` brings verb and worker from the path.
WorkerCommand DecodeCommand(std::string_view text, WorkerCommand command,
                            const std::string& peer);

// Answer to a worker command. The error is empty unless it was refused.
std::string EncodeReport(const WorkerReport& report, const std::string& error);
WorkerReport DecodeReport(std::string_view text, const std::string& peer);

std::string TaskStateName(TaskState state);

// Body of a refusal without effect: {"error": ..., "took_effect": false}.
std::string EncodeRefusal(const std::string& error);
// Whether `text` says, readably, that the request had no effect.
bool ReportsNoEffect(std::string_view text);
// The field "error" of `text`, or the start of the text where there is none.
std::string ErrorText(std::string_view text);

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_SERVICE_CODEC_H_
