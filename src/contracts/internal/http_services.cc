#include "contracts/http_services.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "contracts/service_codec.h"
#include "framework/base/error.h"

namespace carobmast::contracts {

namespace asio = boost::asio;
using net::CallOutcome;
using net::HttpAnswer;

namespace {

constexpr int kOk = 200;
constexpr int kStaleStatus = 409;
constexpr int kRefusedStatus = 422;
constexpr int kUnavailableStatus = 503;
constexpr int kNoRoomStatus = 507;
// Status codes by which a peer rejects a request before it takes any effect.
constexpr std::array<int, 5> kNoEffectStatuses = {400, 404, 405, 413, 422};

std::string DescribeStatus(const char* step, const std::string& peer,
                           const HttpAnswer& answer) {
  return std::string(step) + " with " + peer + ": status " +
         std::to_string(answer.status) + ": " + ErrorText(answer.body);
}

bool IsNoEffectStatus(int status) {
  return std::find(kNoEffectStatuses.begin(), kNoEffectStatuses.end(),
                   status) != kNoEffectStatuses.end();
}

// Whether `answer` proves that the request had no effect.
bool HadNoEffect(const HttpAnswer& answer) {
  if (answer.outcome == CallOutcome::kNotSent) return true;
  if (answer.outcome == CallOutcome::kUnknown) return false;
  if (IsNoEffectStatus(answer.status)) return true;
  return answer.status == kUnavailableStatus && ReportsNoEffect(answer.body);
}

std::string DescribeFailure(const char* step, const std::string& peer,
                            const HttpAnswer& answer) {
  if (answer.outcome == CallOutcome::kAnswered) {
    return DescribeStatus(step, peer, answer);
  }
  return std::string(step) + ": " + answer.error;
}

// Returns the body of an answer with status 200. Throws Error for any other
// answer and if there is none.
std::string RequireBody(const char* step, const std::string& peer,
                        HttpAnswer answer) {
  if (answer.outcome == CallOutcome::kAnswered && answer.status == kOk) {
    return std::move(answer.body);
  }
  if (answer.outcome != CallOutcome::kAnswered) {
    throw Error(step, peer, answer.error);
  }
  throw Error(step, peer,
              "status " + std::to_string(answer.status) + ": " +
                  ErrorText(answer.body));
}

AppendAnswer DecodeAppendAnswer(const HttpAnswer& answer, std::size_t records,
                                const std::string& peer) {
  constexpr char kStep[] = "log append";
  if (answer.outcome != CallOutcome::kAnswered || answer.status != kOk) {
    return {.outcome = HadNoEffect(answer) ? AppendOutcome::kNotSent
                                           : AppendOutcome::kUnknown,
            .error = DescribeFailure(kStep, peer, answer)};
  }
  AppendAnswer appended{.outcome = AppendOutcome::kAppended,
                        .offsets = DecodeOffsets(answer.body, peer)};
  if (appended.offsets.size() != records) {
    throw Error(kStep, peer,
                "the number of offsets differs from the number of records");
  }
  return appended;
}

asio::awaitable<AppendAnswer> Append(Ref<net::HttpClient> client,
                                     net::Address address,
                                     AppendRequest request) {
  const std::string peer = address.ToString();
  if (!IsPathName(request.stream) || request.records.empty() ||
      request.records.size() > kMaxLogRecords) {
    co_return AppendAnswer{
        .outcome = AppendOutcome::kNotSent,
        .error =
            "log append with local: invalid stream name, no records or too "
            "many records"};
  }
  net::HttpCall call{.method = "POST",
                     .target = "/log/" + request.stream,
                     .body = EncodeNewRecords(request.records),
                     .timeout = request.timeout};
  const HttpAnswer answer = co_await client->Call(address, std::move(call));
  try {
    co_return DecodeAppendAnswer(answer, request.records.size(), peer);
  } catch (const Error& error) {
    co_return AppendAnswer{.outcome = AppendOutcome::kUnknown,
                           .error = error.what()};
  }
}

asio::awaitable<ReadAnswer> Read(Ref<net::HttpClient> client,
                                 net::Address address, ReadRequest request) {
  constexpr char kStep[] = "log read";
  if (!IsPathName(request.stream)) {
    throw Error(kStep, "local", "invalid stream name " + request.stream);
  }
  const std::chrono::milliseconds wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.wait);
  net::HttpCall call{.target = "/log/" + request.stream +
                               "?from=" + std::to_string(request.from) +
                               "&max=" + std::to_string(request.max_records) +
                               "&wait_ms=" + std::to_string(wait.count()),
                     .timeout = request.timeout + request.wait};
  HttpAnswer answer = co_await client->Call(address, std::move(call));
  const std::string peer = address.ToString();
  co_return DecodeReadAnswer(RequireBody(kStep, peer, std::move(answer)),
                             request, peer);
}

asio::awaitable<VmListAnswer> ListVms(Ref<net::HttpClient> client,
                                      net::Address address, Duration timeout) {
  net::HttpCall call{.target = "/vms", .timeout = timeout};
  HttpAnswer answer = co_await client->Call(address, std::move(call));
  const std::string peer = address.ToString();
  co_return DecodeVmList(RequireBody("VM list", peer, std::move(answer)), peer);
}

// Maps the status of an answer to the outcome of a command.
CommandOutcome ToCommandOutcome(const HttpAnswer& answer) {
  if (answer.outcome == CallOutcome::kNotSent) return CommandOutcome::kNotSent;
  if (answer.outcome == CallOutcome::kUnknown) return CommandOutcome::kUnknown;
  switch (answer.status) {
    case kOk:
      return CommandOutcome::kDone;
    case kStaleStatus:
      return CommandOutcome::kStale;
    case kNoRoomStatus:
      return CommandOutcome::kNoRoom;
    case kUnavailableStatus:
      return HadNoEffect(answer) ? CommandOutcome::kNotSent
                                 : CommandOutcome::kUnknown;
    default:
      return HadNoEffect(answer) ? CommandOutcome::kRefused
                                 : CommandOutcome::kUnknown;
  }
}

// Whether the body of `answer` contains the report of the worker.
bool CarriesReport(const HttpAnswer& answer) {
  if (answer.outcome != CallOutcome::kAnswered) return false;
  return answer.status == kOk || answer.status == kStaleStatus ||
         answer.status == kNoRoomStatus || answer.status == kRefusedStatus;
}

CommandAnswer DecodeCommandAnswer(const HttpAnswer& answer,
                                  const std::string& worker,
                                  const std::string& peer) {
  constexpr char kStep[] = "worker command";
  CommandAnswer read{.outcome = ToCommandOutcome(answer)};
  if (read.outcome != CommandOutcome::kDone) {
    read.error = DescribeFailure(kStep, peer, answer);
  }
  if (!CarriesReport(answer)) return read;
  read.report = DecodeReport(answer.body, peer);
  if (read.report.worker != worker) {
    throw Error(kStep, peer,
                "expected a report of " + worker + ", found one of " +
                    read.report.worker);
  }
  return read;
}

CommandAnswer MakeNotSentAnswer(const std::string& error) {
  return {.outcome = CommandOutcome::kNotSent, .error = error};
}

asio::awaitable<CommandAnswer> Command(Ref<net::HttpClient> client,
                                       WorkerCommand command) {
  net::Address address;
  try {
    address = net::ParseAddress(command.address);
  } catch (const Error& error) {
    co_return MakeNotSentAnswer(error.what());
  }
  if (!IsPathName(command.worker)) {
    co_return MakeNotSentAnswer(
        "worker command with local: invalid worker name");
  }
  net::HttpCall call{
      .method = "POST",
      .target = "/workers/" + command.worker + "/" + VerbName(command.verb),
      .body = EncodeCommand(command),
      .timeout = command.timeout};
  const HttpAnswer answer = co_await client->Call(address, std::move(call));
  try {
    co_return DecodeCommandAnswer(answer, command.worker, command.address);
  } catch (const Error& error) {
    co_return CommandAnswer{.outcome = CommandOutcome::kUnknown,
                            .error = error.what()};
  }
}

}  // namespace

LogService MakeHttpLogService(Ref<net::HttpClient> client,
                              net::Address address) {
  return {.append =
              [client, address](AppendRequest request) {
                return Append(client, address, std::move(request));
              },
          .read =
              [client, address](ReadRequest request) {
                return Read(client, address, std::move(request));
              }};
}

VmListService MakeHttpVmListService(Ref<net::HttpClient> client,
                                    net::Address address) {
  return {.list = [client, address](Duration timeout) {
    return ListVms(client, address, timeout);
  }};
}

WorkerService MakeHttpWorkerService(Ref<net::HttpClient> client) {
  return {.command = [client](WorkerCommand command) {
    return Command(client, std::move(command));
  }};
}

}  // namespace carobmast::contracts
