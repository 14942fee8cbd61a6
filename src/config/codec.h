// The canonical form of objects: JSON with the fields in a fixed order, without
// optional fields that have their default value. Equal objects have equal text
// in all versions of the program that know their fields.
#ifndef CAROBMAST_CONFIG_CODEC_H_
#define CAROBMAST_CONFIG_CODEC_H_

#include <boost/json.hpp>
#include <string>

#include "config/types/objects.h"

namespace carobmast::config {

// Returns {"kind":"service","name":"portal",...}.
boost::json::object ObjectToJson(const Object& object);

// Throws Error (step "config codec", peer the object's title) when a field is
// missing, unknown, or of the wrong type. Does not check the values by the
// rules.
Object ObjectFromJson(const boost::json::value& value);

// The canonical text of one object.
std::string CanonicalText(const Object& object);

// The canonical text of a complete set: an array of objects sorted by name.
std::string SetToText(const Objects& objects);

// Inverse of SetToText. Throws Error (step "config codec") when `text` is
// malformed.
Objects SetFromText(const std::string& text);

// Adds `object` or replaces the object of its kind and name.
void PutObject(Objects& objects, const Object& object);
// Removes the object of that kind and name; does nothing when there is none.
void RemoveObject(Objects& objects, Kind kind, const std::string& name);
// Returns a copy. Throws Error (step "config codec") when there is no such
// object.
Object GetObject(const Objects& objects, Kind kind, const std::string& name);

// Returns the set in the YAML format that operators write, see parse.h.
std::string SetToYaml(const Objects& objects);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_CODEC_H_
