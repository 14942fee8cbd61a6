// One instance of a service on a TCP listener: it runs as many requests at once
// as it has slots, queues the others in order of arrival, echoes each request
// in its answer and can inject faults. Its connection limit bounds the queue.
//
// A request runs for the milliseconds in its query, as in "?ms=20", or for a
// time drawn from an exponential distribution; at most one minute. The answer
// is a JSON object with the method, path, query, body and request id (header
// "x-request-id") of the request and the name of the instance. A refusal has
// the header "carobmast-ran: no".
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
  // Added to the run time of every request, which occupies its slot meanwhile.
  Duration added_latency = Duration::zero();
  // Answers are cut off after this number of bytes; negative for no cut.
  std::int64_t cut_after_bytes = -1;
  // Every request is refused with status 503, without having run.
  bool refusing = false;
};

// Counts how often each request ran, over all instances. Tests use it to detect
// requests that ran more than once.
class RequestCounter : public RefCounted<RequestCounter> {
 public:
  // Counts one run. An empty id, and any new id after the first 200,000, only
  // counts towards total().
  void Add(const std::string& request_id);

  // Runs by request id.
  const std::map<std::string, std::uint64_t>& runs() const { return runs_; }
  // All runs, including those not counted by id.
  std::uint64_t total() const { return total_; }

 private:
  std::map<std::string, std::uint64_t> runs_;
  std::uint64_t total_ = 0;
};

struct TargetOptions {
  // Name of the instance in its answers.
  std::string instance;
  net::Address listen;
  // Number of requests that run at once.
  std::uint32_t slots = 8;
  // Maximum number of open connections.
  std::uint32_t connections = 64;
  // Mean run time of a request that does not state one.
  Duration mean_run = std::chrono::milliseconds(5);
  std::uint64_t seed = 1;
  Ref<RequestCounter> request_counter;
};

class Target : public RefCounted<Target> {
 public:
  // Starts to listen. Throws Error (step "listen").
  Target(boost::asio::any_io_executor executor, TargetOptions options);
  ~Target();

  net::Address address() const;
  // The 99th percentile over the last 256 answers, from the arrival of a
  // request to the end of its run; zero before the first answer.
  Duration LatencyP99() const;
  // Faults to inject; a change may affect requests in flight.
  TargetFaults& faults();

  // Stops listening and lets requests in flight finish for up to `grace`.
  boost::asio::awaitable<void> Stop(Duration grace);

 private:
  struct State;
  Ref<State> state_;
  Ref<net::HttpServer> server_;
};

}  // namespace carobmast::standin

#endif  // CAROBMAST_STANDIN_TARGET_H_
