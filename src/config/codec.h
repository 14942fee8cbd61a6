// The canonical form of objects: JSON with the fields in a fixed order, fields
// that equal their default left out. Equal objects have equal text in every
// version of the program that knows their fields.
#ifndef CAROBMAST_CONFIG_CODEC_H_
#define CAROBMAST_CONFIG_CODEC_H_

#include <boost/json.hpp>
#include <string>

#include "config/types/objects.h"

namespace carobmast::config {

// {"kind":"service","name":"portal",...}
boost::json::object ObjectToJson(const Object& object);

// Throws Error (step "config codec", peer the object's title) when a field is
// missing, unknown, or of another type.
Object ObjectFromJson(const boost::json::value& value);

// The canonical text of one object.
std::string CanonicalText(const Object& object);

// The canonical text of a whole set: an array of objects sorted by name.
std::string SetToText(const Objects& objects);

// Throws Error (step "config codec") when `text` is no whole set.
Objects SetFromText(const std::string& text);

// Adds or replaces.
void PutObject(Objects& objects, const Object& object);
// Removes the object of that kind and name; does nothing when there is none.
void RemoveObject(Objects& objects, Kind kind, const std::string& name);
// A copy. Throws Error (step "config codec") when there is none.
Object GetObject(const Objects& objects, Kind kind, const std::string& name);

// The set as the YAML file that operators write.
std::string SetToYaml(const Objects& objects);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_CODEC_H_
