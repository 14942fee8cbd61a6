#include "operators/internal/ask_status.h"

#include <utility>

#include "framework/base/error.h"
#include "operators/internal/arguments.h"

namespace carobmast::operators::internal {

namespace json = boost::json;

json::value AskStatus(const net::Address& daemon, const std::string& target) {
  LogSession session(daemon);
  net::HttpCall call;
  call.target = target;
  const net::HttpAnswer answer =
      session.Run(session.client().Call(daemon, std::move(call)));
  if (answer.outcome != net::CallOutcome::kAnswered) {
    throw Error("status", daemon.ToString(), answer.error);
  }
  json::error_code error;
  json::value status = json::parse(answer.body, error);
  if (answer.status != 200 || error) {
    throw Error("status", daemon.ToString(),
                "expected HTTP status 200 with a JSON body, got status " +
                    std::to_string(answer.status));
  }
  return status;
}

}  // namespace carobmast::operators::internal
