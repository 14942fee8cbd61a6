// A fake of the platform's log for several readers in virtual time, with
// outages and lost answers on command.
#ifndef CAROBMAST_REQUESTS_FAKES_FAKE_LOG_H_
#define CAROBMAST_REQUESTS_FAKES_FAKE_LOG_H_

#include <functional>
#include <list>
#include <utility>
#include <vector>

#include "contracts/types/log_record.h"
#include "requests/fakes/virtual_time.h"

namespace carobmast::requests::fakes {

enum class LogMode {
  kHealthy,
  kOutage,        // no request arrives
  kLosesAnswers,  // appends take effect, but their answers are lost
};

class FakeLog {
 public:
  explicit FakeLog(VirtualTime& time) : time_(time) {}

  void SetMode(LogMode mode) { mode_ = mode; }
  std::size_t appends() const { return appends_; }

  // Calls `answer` with the outcome after a delay.
  void Append(contracts::AppendRequest request,
              std::function<void(const contracts::AppendAnswer&)> answer) {
    if (mode_ == LogMode::kOutage) {
      return time_.After(request.timeout, [answer] {
        answer({.outcome = contracts::AppendOutcome::kNotSent});
      });
    }
    const bool lost = mode_ == LogMode::kLosesAnswers;
    time_.After(kLatency, [this, request, answer, lost] {
      ++appends_;
      for (const contracts::NewRecord& record : request.records) {
        records_.push_back({.offset = records_.size() + 1,
                            .appended_at = Now(),
                            .id = record.id,
                            .data = record.data});
      }
      AnswerReaders();
      if (!lost) {
        return time_.After(kLatency, [answer] {
          answer({.outcome = contracts::AppendOutcome::kAppended});
        });
      }
      time_.After(request.timeout, [answer] {
        answer({.outcome = contracts::AppendOutcome::kUnknown});
      });
    });
  }

  // Calls `answer` once there are records to read, or with null if the read
  // failed.
  void Read(contracts::ReadRequest request,
            std::function<void(const contracts::ReadAnswer*)> answer) {
    if (mode_ == LogMode::kOutage) {
      return time_.After(request.timeout, [answer] { answer(nullptr); });
    }
    time_.After(kLatency, [this, request, answer] {
      waiting_.push_back({request, answer});
      AnswerReaders();
    });
  }

 private:
  struct Waiting {
    contracts::ReadRequest request;
    std::function<void(const contracts::ReadAnswer*)> answer;
  };

  static constexpr Duration kLatency = std::chrono::milliseconds(3);

  WallTime Now() const {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
        time_.now().time_since_epoch()));
  }

  void AnswerReaders() {
    for (const Waiting& reader : std::exchange(waiting_, {})) {
      if (reader.request.from > records_.size()) {
        waiting_.push_back(reader);
        continue;
      }
      contracts::ReadAnswer read{.next = records_.size() + 1};
      read.records.assign(records_.begin() +
                              static_cast<std::ptrdiff_t>(reader.request.from) -
                              1,
                          records_.end());
      time_.After(kLatency, [this, reader, read] {
        reader.answer(mode_ == LogMode::kOutage ? nullptr : &read);
      });
    }
  }

  VirtualTime& time_;
  LogMode mode_ = LogMode::kHealthy;
  std::vector<contracts::LogRecord> records_;
  std::list<Waiting> waiting_;
  std::size_t appends_ = 0;
};

}  // namespace carobmast::requests::fakes

#endif  // CAROBMAST_REQUESTS_FAKES_FAKE_LOG_H_
