// Type-checked access to JSON values. A missing field or one of the wrong type
// throws Error, which names the field and has the step and the peer that were
// given to the reader.
#ifndef CAROBMAST_FRAMEWORK_BASE_JSON_H_
#define CAROBMAST_FRAMEWORK_BASE_JSON_H_

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace carobmast {

// Reads the fields of one JSON object.
class JsonReader {
 public:
  // Parses `text`. Throws Error when it is malformed, nested deeper than 32
  // levels or not an object. `step` and `peer` are used in every Error.
  static JsonReader Parse(std::string_view text, std::string step,
                          std::string peer);

  JsonReader(boost::json::object object, std::string step, std::string peer);

  bool Has(std::string_view field) const;
  // Each returns the value of a field and throws Error when the field is
  // missing or has another type.
  std::string String(std::string_view field) const;
  std::int64_t Int(std::string_view field) const;
  std::uint64_t Unsigned(std::string_view field) const;
  double Number(std::string_view field) const;
  bool Bool(std::string_view field) const;
  const boost::json::array& Array(std::string_view field) const;
  JsonReader Object(std::string_view field) const;
  // Returns a reader for `value`, an element of an array of this object. Throws
  // Error when it is not an object.
  JsonReader Element(const boost::json::value& value) const;
  // Returns the value, or `fallback` when the field is missing. Throws Error
  // when the field has another type.
  std::string StringOr(std::string_view field, std::string_view fallback) const;
  std::uint64_t UnsignedOr(std::string_view field,
                           std::uint64_t fallback) const;

  const boost::json::object& object() const { return object_; }

 private:
  const boost::json::value& Field(std::string_view field) const;
  [[noreturn]] void Fail(std::string_view field, const char* expected) const;

  boost::json::object object_;
  std::string step_;
  std::string peer_;
};

}  // namespace carobmast

#endif  // CAROBMAST_FRAMEWORK_BASE_JSON_H_
