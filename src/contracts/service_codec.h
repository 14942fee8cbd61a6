// JSON encoding of the types in types/, as sent to and by the platform's
// services. Used by the clients in http_services.h and by the stand-in
// platform.
//
// All strings on the wire are UTF-8. Every Decode function throws Error (step
// "platform answer" or "platform request", peer `peer`) if the text is
// malformed, a field is missing or has the wrong type, or a limit is exceeded.
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

// Limits on the contents of one message.
inline constexpr std::size_t kMaxLogRecords = 10'000;
inline constexpr std::size_t kMaxListedVms = 100'000;
inline constexpr std::size_t kMaxReportedTasks = 10'000;
inline constexpr std::size_t kMaxNameBytes = 256;

// Whether `name` can be used as a segment of a URL path: 1 to kMaxNameBytes
// ASCII letters, digits, '.', '_' or '-', but neither "." nor "..".
bool IsPathName(std::string_view name);

// Body of POST /log/STREAM.
std::string EncodeNewRecords(const std::vector<NewRecord>& records);
std::vector<NewRecord> DecodeNewRecords(std::string_view text,
                                        const std::string& peer);

// Answer to POST /log/STREAM.
std::string EncodeOffsets(const std::vector<Offset>& offsets);
std::vector<Offset> DecodeOffsets(std::string_view text,
                                  const std::string& peer);

// Answer to GET /log/STREAM. Decoding also throws Error if there are more
// records than requested, or if the offsets don't increase, start below the
// requested offset, or are outside the range that the answer states.
std::string EncodeReadAnswer(const ReadAnswer& answer);
ReadAnswer DecodeReadAnswer(std::string_view text, const ReadRequest& request,
                            const std::string& peer);

// Answer to GET /vms.
std::string EncodeVmList(const VmListAnswer& answer);
VmListAnswer DecodeVmList(std::string_view text, const std::string& peer);

// The VERB of POST /workers/NAME/VERB.
std::string VerbName(WorkerVerb verb);
// Throws Error if there is no verb of this name.
WorkerVerb ParseVerb(std::string_view name, const std::string& peer);

// Body of POST /workers/NAME/VERB. Contains only the fields that the verb uses.
std::string EncodeCommand(const WorkerCommand& command);
// The caller sets the verb and the worker, which are in the path, in `command`;
// the other fields are added from `text`.
WorkerCommand DecodeCommand(std::string_view text, WorkerCommand command,
                            const std::string& peer);

// Answer to a worker command. `error` is empty unless the command was refused.
std::string EncodeReport(const WorkerReport& report, const std::string& error);
WorkerReport DecodeReport(std::string_view text, const std::string& peer);

// The name of `state` on the wire.
std::string TaskStateName(TaskState state);

// Body of the answer to a request that was refused without any effect:
// {"error": ..., "took_effect": false}.
std::string EncodeRefusal(const std::string& error);
// Whether `text` is a JSON object with "took_effect": false, by which the peer
// confirms that the request had no effect.
bool ReportsNoEffect(std::string_view text);
// The field "error" of `text`, or `text` itself if there is no such field, cut
// to 512 bytes.
std::string ErrorText(std::string_view text);

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_SERVICE_CODEC_H_
