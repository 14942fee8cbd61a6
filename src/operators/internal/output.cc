#include "operators/internal/output.h"

#include <yaml-cpp/emitter.h>
#include <yaml-cpp/emittermanip.h>

#include <iostream>

namespace carobmast::operators::internal {
namespace {

namespace json = boost::json;

void EmitScalar(const json::value& value, YAML::Emitter& out) {
  switch (value.kind()) {
    case json::kind::string:
      out << YAML::DoubleQuoted << std::string(value.get_string());
      break;
    case json::kind::bool_:
      out << value.get_bool();
      break;
    case json::kind::int64:
      out << value.get_int64();
      break;
    case json::kind::uint64:
      out << value.get_uint64();
      break;
    case json::kind::double_:
      out << value.get_double();
      break;
    default:
      out << YAML::Null;
      break;
  }
}

void Emit(const json::value& value, YAML::Emitter& out) {
  if (value.is_object()) {
    out << YAML::BeginMap;
    for (const json::key_value_pair& entry : value.get_object()) {
      out << YAML::Key << std::string(entry.key()) << YAML::Value;
      Emit(entry.value(), out);
    }
    out << YAML::EndMap;
  } else if (value.is_array()) {
    out << YAML::BeginSeq;
    for (const json::value& item : value.get_array()) Emit(item, out);
    out << YAML::EndSeq;
  } else {
    EmitScalar(value, out);
  }
}

}  // namespace

std::string FormatResult(const json::value& result, const std::string& format) {
  if (format == "json") return json::serialize(result) + "\n";
  YAML::Emitter out;
  Emit(result, out);
  return std::string(out.c_str()) + "\n";
}

void PrintResult(const json::value& result, const std::string& format) {
  std::cout << FormatResult(result, format) << std::flush;
}

void PrintMessage(const std::string& command, const std::string& message) {
  std::cerr << "carobmast " << command << ": " << message << "\n";
}

}  // namespace carobmast::operators::internal
