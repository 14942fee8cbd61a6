#include "operators/internal/publish_report.h"

#include "operators/internal/output.h"

namespace carobmast::operators::internal {
namespace {

const char* OutcomeName(PublishOutcome outcome) {
  switch (outcome) {
    case PublishOutcome::kPublished:
      return "published";
    case PublishOutcome::kUnchanged:
      return "unchanged";
    case PublishOutcome::kRefused:
      return "refused";
    case PublishOutcome::kNotPublished:
      return "not published";
    case PublishOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

boost::json::object PublishReport(const PublishResult& result) {
  boost::json::object report{{"outcome", OutcomeName(result.outcome)}};
  if (!result.id.empty()) report["id"] = result.id;
  if (!result.reason.empty()) report["reason"] = result.reason;
  if (result.outcome == PublishOutcome::kPublished) {
    report["objects_put"] = result.objects_put;
    report["objects_removed"] = result.objects_removed;
  }
  if (result.offset > 0) {
    report["in_force"] = {{"offset", result.offset}, {"digest", result.digest}};
  }
  return report;
}

cli::ExitCode PublishExitCode(const PublishResult& result) {
  switch (result.outcome) {
    case PublishOutcome::kPublished:
    case PublishOutcome::kUnchanged:
      return cli::ExitCode::kDone;
    case PublishOutcome::kRefused:
      return cli::ExitCode::kRefused;
    case PublishOutcome::kNotPublished:
    case PublishOutcome::kUnknown:
      return cli::ExitCode::kPlatformUnavailable;
  }
  return cli::ExitCode::kPlatformUnavailable;
}

void PrintPublishMessage(const std::string& command,
                         const PublishResult& result) {
  switch (result.outcome) {
    case PublishOutcome::kPublished:
      break;
    case PublishOutcome::kUnchanged:
      PrintMessage(command, result.reason);
      break;
    case PublishOutcome::kRefused:
      PrintMessage(command, "refused: " + result.reason);
      break;
    case PublishOutcome::kNotPublished:
      PrintMessage(command,
                   "not published, nothing took effect: " + result.reason);
      break;
    case PublishOutcome::kUnknown:
      PrintMessage(command, "unknown whether it took effect: " + result.reason +
                                "; look it up with 'carobmast history --id " +
                                result.id + "'");
      break;
  }
}

}  // namespace carobmast::operators::internal
