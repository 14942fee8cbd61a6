#include "framework/base/json.h"

#include <boost/json/src.hpp>
#include <utility>

#include "framework/base/error.h"

namespace carobmast {

namespace json = boost::json;

JsonReader JsonReader::Parse(std::string_view text, std::string step,
                             std::string peer) {
  json::error_code error;
  json::parse_options options;
  options.max_depth = 32;
  json::value value = json::parse(text, error, {}, options);
  if (error) throw Error(step, peer, "malformed JSON: " + error.message());
  if (!value.is_object()) throw Error(step, peer, "expected a JSON object");
  return JsonReader(std::move(value.as_object()), std::move(step),
                    std::move(peer));
}

JsonReader::JsonReader(json::object object, std::string step, std::string peer)
    : object_(std::move(object)),
      step_(std::move(step)),
      peer_(std::move(peer)) {}

bool JsonReader::Has(std::string_view field) const {
  return object_.contains(field);
}

void JsonReader::Fail(std::string_view field, const char* expected) const {
  throw Error(step_, peer_,
              "field '" + std::string(field) + "': expected " + expected);
}

const json::value& JsonReader::Field(std::string_view field) const {
  const json::value* value = object_.if_contains(field);
  if (value == nullptr) Fail(field, "a value, found none");
  return *value;
}

std::string JsonReader::String(std::string_view field) const {
  const json::value& value = Field(field);
  if (!value.is_string()) Fail(field, "a string");
  return std::string(value.get_string());
}

std::int64_t JsonReader::Int(std::string_view field) const {
  json::error_code error;
  const std::int64_t number = Field(field).to_number<std::int64_t>(error);
  if (error) Fail(field, "an integer");
  return number;
}

std::uint64_t JsonReader::Unsigned(std::string_view field) const {
  json::error_code error;
  const std::uint64_t number = Field(field).to_number<std::uint64_t>(error);
  if (error) Fail(field, "a non-negative integer");
  return number;
}

double JsonReader::Number(std::string_view field) const {
  json::error_code error;
  const double number = Field(field).to_number<double>(error);
  if (error) Fail(field, "a number");
  return number;
}

bool JsonReader::Bool(std::string_view field) const {
  const json::value& value = Field(field);
  if (!value.is_bool()) Fail(field, "true or false");
  return value.get_bool();
}

const json::array& JsonReader::Array(std::string_view field) const {
  const json::value& value = Field(field);
  if (!value.is_array()) Fail(field, "an array");
  return value.get_array();
}

JsonReader JsonReader::Object(std::string_view field) const {
  const json::value& value = Field(field);
  if (!value.is_object()) Fail(field, "an object");
  return JsonReader(value.get_object(), step_, peer_);
}

JsonReader JsonReader::Element(const json::value& value) const {
  if (!value.is_object()) Fail("element", "an object");
  return JsonReader(value.get_object(), step_, peer_);
}

std::string JsonReader::StringOr(std::string_view field,
                                 std::string_view fallback) const {
  return Has(field) ? String(field) : std::string(fallback);
}

std::uint64_t JsonReader::UnsignedOr(std::string_view field,
                                     std::uint64_t fallback) const {
  return Has(field) ? Unsigned(field) : fallback;
}

}  // namespace carobmast
