// The text form of the records of the log stream "work": one JSON object each,
// with the field `format`.
#ifndef CAROBMAST_WORK_WORK_RECORD_H_
#define CAROBMAST_WORK_WORK_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "contracts/types/log_record.h"
#include "work/types/records.h"

namespace carobmast::work {

// Raised when the meaning of a field changes. Records of a higher format are
// refused by DecodeRecord; kinds that are unknown within this format are not.
inline constexpr std::uint64_t kWorkFormat = 1;

inline constexpr std::size_t kMaxRecordBytes = std::size_t{1024} * 1024;

std::string EncodeRecord(const WorkRecord& record);

// Throws Error (step "work record", peer `source`) when the text is malformed,
// longer than kMaxRecordBytes or of a higher format.
WorkRecord DecodeRecord(std::string_view text, const std::string& source);

// Makes the record that the submit command appends. Its log id is "submit-"
// followed by the submission, so a repeated append is known as a duplicate.
contracts::NewRecord MakeSubmit(const std::string& submission,
                                const config::BatchJob& spec);

// Makes the record that the cancel command appends.
contracts::NewRecord MakeCancel(const std::string& submission);

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_WORK_RECORD_H_
