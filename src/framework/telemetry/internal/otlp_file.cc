#include "framework/telemetry/otlp_file.h"

#include <boost/json.hpp>
#include <fstream>

namespace carobmast::telemetry {

namespace json = boost::json;

namespace {

// OTLP JSON encodes 64-bit integers as strings.
std::string UnixNano(SpanTime time) {
  return std::to_string(time.time_since_epoch().count());
}

struct ToAnyValue {
  json::object operator()(const std::string& value) const {
    return {{"stringValue", value}};
  }
  json::object operator()(std::int64_t value) const {
    return {{"intValue", std::to_string(value)}};
  }
  json::object operator()(double value) const {
    return {{"doubleValue", value}};
  }
  json::object operator()(bool value) const { return {{"boolValue", value}}; }
};

json::object ToAttribute(const std::string& key, const AttributeValue& value) {
  return {{"key", key}, {"value", std::visit(ToAnyValue{}, value)}};
}

json::object ToJson(const Span& span) {
  json::object object = {
      {"traceId", FormatTraceId(span.context)},
      {"spanId", FormatSpanId(span.context.span)},
      {"name", span.name},
      {"kind", static_cast<int>(span.kind)},
      {"startTimeUnixNano", UnixNano(span.start)},
      {"endTimeUnixNano", UnixNano(span.end)},
  };
  if (span.parent != 0) object["parentSpanId"] = FormatSpanId(span.parent);
  json::array attributes;
  for (const std::pair<std::string, AttributeValue>& attribute :
       span.attributes) {
    attributes.push_back(ToAttribute(attribute.first, attribute.second));
  }
  object["attributes"] = std::move(attributes);
  json::object status = {{"code", static_cast<int>(span.status)}};
  if (!span.status_text.empty()) status["message"] = span.status_text;
  object["status"] = std::move(status);
  return object;
}

}  // namespace

OtlpFile::OtlpFile(OtlpFileOptions options) : options_(std::move(options)) {}

void OtlpFile::Add(Span span) {
  if (spans_.size() >= options_.max_buffered) {
    ++dropped_;
    return;
  }
  spans_.push_back(std::move(span));
}

std::string OtlpFile::Serialize() const {
  json::array spans;
  for (const Span& span : spans_) spans.push_back(ToJson(span));
  const json::array attributes = {
      ToAttribute("service.name", std::string("carobmast")),
      ToAttribute("service.instance.id", options_.instance),
      ToAttribute("cloud.availability_zone", options_.zone)};
  const json::object scope_spans = {{"scope", {{"name", "carobmast"}}},
                                    {"spans", std::move(spans)}};
  const json::object resource_spans = {
      {"resource", {{"attributes", attributes}}},
      {"scopeSpans", json::array{scope_spans}}};
  return json::serialize(
      json::object{{"resourceSpans", json::array{resource_spans}}});
}

OtlpFile::Batch OtlpFile::Take() {
  Batch batch{.spans = spans_.size(), .body = Serialize()};
  spans_.clear();
  return batch;
}

void OtlpFile::OnSent(const Batch& batch, bool accepted) {
  (accepted ? written_ : dropped_) += batch.spans;
}

void OtlpFile::Flush() {
  if (spans_.empty()) return;
  const Batch batch = Take();
  const std::string line = batch.body + "\n";
  std::ofstream file(options_.path, std::ios::app | std::ios::binary);
  const std::streamoff size = file.is_open() ? std::streamoff{file.tellp()} : 0;
  const bool fits =
      static_cast<std::uint64_t>(size) + line.size() <= options_.max_file_bytes;
  if (fits) file << line << std::flush;
  OnSent(batch, fits && file.good());
}

}  // namespace carobmast::telemetry
