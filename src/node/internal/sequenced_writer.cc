#include "node/sequenced_writer.h"

#include <utility>

namespace carobmast::node {

using contracts::KeyedAppendOutcome;

SequencedWriter::SequencedWriter(std::string name, std::uint64_t epoch)
    : name_(std::move(name)), epoch_(epoch) {}

contracts::Writer SequencedWriter::Next() const {
  return {.name = name_, .epoch = epoch_, .sequence = sequence_};
}

AppendResult SequencedWriter::OnAnswer(
    const contracts::KeyedAppendAnswer& answer) {
  switch (answer.outcome) {
    case KeyedAppendOutcome::kUnknown:
      unanswered_ = true;
      return AppendResult::kRetryNow;
    case KeyedAppendOutcome::kNotStored:
      return AppendResult::kRetryAfterPause;
    case KeyedAppendOutcome::kOutOfSequence:
      // The sending without an answer was stored.
      if (unanswered_ && answer.expected_sequence == sequence_ + 1) break;
      return AppendResult::kSuperseded;
    case KeyedAppendOutcome::kFenced:
    case KeyedAppendOutcome::kEndMoved:
      return AppendResult::kSuperseded;
    case KeyedAppendOutcome::kStored:
      break;
  }
  ++sequence_;
  unanswered_ = false;
  return AppendResult::kStored;
}

}  // namespace carobmast::node
