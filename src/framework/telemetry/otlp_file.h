// Writes spans to a file in the JSON form of the OpenTelemetry protocol, one
// ExportTraceServiceRequest a line, as collectors read it.
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
  // Resource attributes: the process's name and availability zone.
  std::string instance;
  std::string zone;
  // Spans that wait for the next Flush; further ones are dropped.
  std::size_t max_buffered = 4096;
  // The file is not written beyond this size.
  std::uint64_t max_file_bytes = std::uint64_t{1} << 30;
};

class OtlpFile {
 public:
  explicit OtlpFile(OtlpFileOptions options);

  // Buffers a span; suits TracerOptions::sink.
  void Add(Span span);
  // Appends the buffered spans to the file. Drops them when it can't.
  void Flush();

  // The buffered spans as the body of one request to a collector.
  struct Batch {
    std::size_t spans = 0;
    std::string body;
  };
  // Takes the buffered spans out, for a collector in place of the file; report
  // how it ended with OnSent.
  Batch Take();
  void OnSent(const Batch& batch, bool accepted);

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
