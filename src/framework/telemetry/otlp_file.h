// Exports spans in the JSON encoding of the OpenTelemetry protocol (OTLP), to a
// file with one ExportTraceServiceRequest per line or as request bodies for a
// collector.
#ifndef CAROBMAST_FRAMEWORK_TELEMETRY_OTLP_FILE_H_
#define CAROBMAST_FRAMEWORK_TELEMETRY_OTLP_FILE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "framework/telemetry/trace.h"

namespace carobmast::telemetry {

struct OtlpFileOptions {
  std::string path;
  // Resource attributes: the name and the availability zone of the process.
  std::string instance;
  std::string zone;
  // Limit of spans that wait for the next Flush() or Take(); further spans are
  // dropped and counted.
  std::size_t max_buffered = 4096;
  // Spans that would make the file longer than this are dropped and counted.
  std::uint64_t max_file_bytes = std::uint64_t{1} << 30;
};

// Buffers spans until Flush() or Take(). Not thread-safe.
class OtlpFile {
 public:
  explicit OtlpFile(OtlpFileOptions options);

  // Buffers a span; meant to be called by TracerOptions::sink.
  void Add(Span span);
  // Appends the buffered spans to the file. Drops and counts them when the file
  // can't be written.
  void Flush();

  // The buffered spans as the body of one request to a collector.
  struct Batch {
    std::size_t spans = 0;
    std::string body;
  };
  // Removes the buffered spans and returns them for sending to a collector. The
  // caller must report the result with OnSent().
  Batch Take();
  void OnSent(const Batch& batch, bool accepted);

  // Spans written or accepted, and spans dropped, since the start.
  std::uint64_t written() const { return written_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  std::string Serialize() const;

  OtlpFileOptions options_;
  std::vector<Span> spans_;
  std::uint64_t written_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace carobmast::telemetry

#endif  // CAROBMAST_FRAMEWORK_TELEMETRY_OTLP_FILE_H_
