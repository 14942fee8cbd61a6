// A configuration set with the indexes that make a change cheap to apply, to
// check and to undo: names, references in both directions, demands and digest.
#ifndef CAROBMAST_CONFIG_OBJECT_SET_H_
#define CAROBMAST_CONFIG_OBJECT_SET_H_

#include <boost/container/flat_set.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/set_digest.h"
#include "config/types/change.h"
#include "config/types/objects.h"
#include "contracts/types/log_record.h"
#include "framework/base/time.h"

namespace carobmast::config {

// Wide enough for sums over a whole set.
__extension__ using WideCount = unsigned __int128;

// A sum of resources.
struct ResourceSum {
  WideCount milli_cpus = 0;
  WideCount memory_bytes = 0;
  WideCount accelerators = 0;

  void Add(const contracts::Resources& each, std::uint64_t count);
  void Subtract(const contracts::Resources& each, std::uint64_t count);
  // Whether no member is larger than that of `other`.
  bool FitsIn(const ResourceSum& other) const;
};

// The record that changed an object last.
struct Stamp {
  contracts::Offset offset = 0;
  WallTime at;
};

struct StampedObject {
  Object object;
  Stamp stamp;
};

// Names that an object refers to, with the field and the kind expected.
struct Reference {
  std::string field;
  Kind kind;
  std::string name;
};
std::vector<Reference> ReferencesOf(const Object& object);

class ObjectSet {
 public:
  struct Entry {
    Kind kind = Kind::kTeam;
    Stamp stamp;
  };
  // What takes a change back.
  struct Undo {
    std::vector<StampedObject> put;
    std::vector<std::string> remove;
  };

  ObjectSet() = default;
  // Moves only: the indexes hold views of one another's keys.
  ObjectSet(ObjectSet&&) = default;
  ObjectSet& operator=(ObjectSet&&) = default;

  // The objects, valid until the next change.
  const Objects& objects() const { return objects_; }
  std::size_t size() const { return index_.size(); }
  // Null when there is none.
  const Entry* Find(const std::string& name) const;
  // The object of that name, which must be in the set.
  Object Get(const std::string& name) const;
  std::string Digest() const { return digest_.Hex(); }

  // Names of the objects that refer to `name`, sorted.
  std::vector<std::string> ReferrersOf(const std::string& name) const;

  // What the services and standing workers of a team or a pool need together.
  ResourceSum StandingDemand(const std::string& team_or_pool) const;
  const ResourceSum& total_quota() const { return total_quota_; }
  const ResourceSum& total_capacity() const { return total_capacity_; }

  // Applies a change without any check: names that are removed but absent are
  // ignored, and a name that is put replaces the object of that name.
  Undo Apply(const Change& change, const Stamp& stamp);
  void Revert(const Undo& undo);
  // Adds one object with the stamp of its last change.
  void Put(const StampedObject& object);

  // Calls `visit` for each object in the order of names, from the first name
  // after `after` on, until it returns false.
  void ForEachAfter(
      const std::string& after,
      const std::function<bool(const StampedObject&)>& visit) const;

  // The change that leads from this set to `objects`, both parts by name.
  Change ChangeTo(const Objects& objects) const;

 private:
  void Remove(const std::string& name);
  void Link(const Object& object, std::string_view name);
  void Unlink(const Object& object, std::string_view name);
  void Count(const Object& object, bool add);

  Objects objects_;
  std::map<std::string, Entry> index_;
  // By the name referred to, present or not; views of the index's keys.
  std::map<std::string, boost::container::flat_set<std::string_view>>
      referrers_;
  std::map<std::string, ResourceSum> standing_demand_;
  ResourceSum total_quota_;
  ResourceSum total_capacity_;
  SetDigest digest_;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_OBJECT_SET_H_
