// Numbers the appends of one writer to a stream, so that the store detects
// repeated ones, and judges their answers. Sans-I/O.
//
// An append is repeated under its number until it is known to be stored: a
// number never stands for two different contents, also when an earlier sending
// is carried out late. The first append of an epoch must have records, because
// stores may or may not count one without.
#ifndef CAROBMAST_NODE_SEQUENCED_WRITER_H_
#define CAROBMAST_NODE_SEQUENCED_WRITER_H_

#include <cstdint>
#include <string>

#include "contracts/keyed_log.h"

namespace carobmast::node {

// What to do after the answer to an append.
enum class AppendResult { kStored, kRetryNow, kRetryAfterPause, kSuperseded };

class SequencedWriter {
 public:
  SequencedWriter(std::string name, std::uint64_t epoch);

  // Of the next append, and of its repetitions until it is stored.
  contracts::Writer Next() const;
  // Takes the answer to an append that was sent with Next().
  AppendResult OnAnswer(const contracts::KeyedAppendAnswer& answer);

 private:
  std::string name_;
  std::uint64_t epoch_;
  std::uint64_t sequence_ = 0;
  // A sending of the next append got no answer: it may have been stored.
  bool unanswered_ = false;
};

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_SEQUENCED_WRITER_H_
