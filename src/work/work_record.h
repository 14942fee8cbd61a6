// Encodes the records of the log stream "work" as JSON, one object with the
// field `format` each.
#ifndef CAROBMAST_WORK_WORK_RECORD_H_
#define CAROBMAST_WORK_WORK_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "contracts/types/log_record.h"
#include "work/types/records.h"

namespace carobmast::work {

// Incremented when the meaning of a field changes. DecodeRecord refuses records
// of a higher format, but accepts unknown kinds within this format as
// UnknownRecord.
inline constexpr std::uint64_t kWorkFormat = 1;

inline constexpr std::size_t kMaxRecordBytes = std::size_t{1024} * 1024;

std::string EncodeRecord(const WorkRecord& record);

// Throws Error (step "work record", peer `source`) if the text is malformed,
// longer than kMaxRecordBytes or of a higher format.
WorkRecord DecodeRecord(std::string_view text, const std::string& source);

// The record that the submit command appends. Its log id is "submit-" followed
// by the submission, so a repeated append is recognised as a duplicate.
contracts::NewRecord MakeSubmit(const std::string& submission,
                                const config::BatchJob& spec);

// The record that the cancel command appends. Its log id is "cancel-" followed
// by the submission.
contracts::NewRecord MakeCancel(const std::string& submission);

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_WORK_RECORD_H_
