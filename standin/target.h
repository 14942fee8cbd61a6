// One instance of a service behind a real listener: a number of slots, a queue
// as long as its connections, an echo as answer, and faults.
//
// A request runs for the time in its query, "?ms=20", or for a time drawn from
// an exponential distribution. The answer is a JSON object with the method,
// path, query, body and request id (header "x-request-id") of the request and
// the name of the instance. A refusal carries "carobmast-ran: no".
#ifndef CAROBMAST_STANDIN_TARGET_H_
#define CAROBMAST_STANDIN_TARGET_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "framework/base/intrusive.h"
#include "framework/base/time.h"
#include "framework/net/http_server.h"

namespace carobmast::standin {

struct TargetFaults {
  // Every answer comes so much later; the slot stays taken.
  Duration added_latency = Duration::zero();
  // Answers end after so many bytes of the message; negative for whole answers.
  std::int64_t cut_after_bytes = -1;
  // Every request is refused without having run.
  bool refusing = false;
};

// Counts how often each request ran, over all instances; for oracles.
class RequestCounter : public RefCounted<RequestCounter> {
 public:
  // Counts one run. Ids beyond the bound are not counted one by one.
  void Add(const std::string& request_id);

  // Runs by request id.
  const std::map<std::string, std::uint64_t>& runs() const { return runs_; }
  std::uint64_t total() const { return total_; }

 private:
  std::map<std::string, std::uint64_t> runs_;
  std::uint64_t total_ = 0;
};

struct TargetOptions {
  // Name of the instance in its answers.
  std::string instance;
  net::Address listen;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  // Mean of the time that a request runs when it does not say.
  Duration mean_run = std::chrono::milliseconds(5);
  std::uint64_t seed = 1;
  Ref<RequestCounter> request_counter;
};

class Target : public RefCounted<Target> {
 public:
  // Listens at once. Throws Error (step "listen").
  Target(boost::asio::any_io_executor executor, TargetOptions options);
  ~Target();

  net::Address address() const;
  // Over the last few hundred answers.
  Duration LatencyP99() const;
  TargetFaults& faults();

  // Stops listening; with a grace, requests in flight end first.
  boost::asio::awaitable<void> Stop(Duration grace);

 private:
  struct State;
  Ref<State> state_;
  Ref<net::HttpServer> server_;
};

}  // namespace carobmast::standin

#endif  // CAROBMAST_STANDIN_TARGET_H_
