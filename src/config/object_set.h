// A configuration set with indexes of names, references, resource demands and
// the digest, so that the cost of applying, checking and reverting a change
// follows the size of the change.
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

// Sums over a whole set can exceed 64 bits.
__extension__ using WideCount = unsigned __int128;

// A sum of resources.
struct ResourceSum {
  WideCount milli_cpus = 0;
  WideCount memory_bytes = 0;
  WideCount accelerators = 0;

  void Add(const contracts::Resources& each, std::uint64_t count);
  void Subtract(const contracts::Resources& each, std::uint64_t count);
  // Whether each amount is at most that of `other`.
  bool FitsIn(const ResourceSum& other) const;
};

// Offset and time of the record that last changed an object.
struct Stamp {
  contracts::Offset offset = 0;
  WallTime at;
};

struct StampedObject {
  Object object;
  Stamp stamp;
};

// A reference from an object's field to another object, by name. `kind` is the
// kind that the referenced object must have.
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
  // The information needed to revert a change.
  struct Undo {
    std::vector<StampedObject> put;
    std::vector<std::string> remove;
  };

  ObjectSet() = default;
  // Move-only, because one index holds views of another's keys.
  ObjectSet(ObjectSet&&) = default;
  ObjectSet& operator=(ObjectSet&&) = default;

  // The reference stays valid; the objects may change with the next call of a
  // non-const member.
  const Objects& objects() const { return objects_; }
  std::size_t size() const { return index_.size(); }
  // Null when no object has that name. Valid until the object is put or
  // removed.
  const Entry* Find(const std::string& name) const;
  // Returns a copy of the object `name`, which must be in the set.
  Object Get(const std::string& name) const;
  std::string Digest() const { return digest_.Hex(); }

  // Sorted names of the objects that refer to `name`.
  std::vector<std::string> ReferrersOf(const std::string& name) const;

  // Total resources needed by the services and standing workers of a team or
  // pool.
  ResourceSum StandingDemand(const std::string& team_or_pool) const;
  const ResourceSum& total_quota() const { return total_quota_; }
  const ResourceSum& total_capacity() const { return total_capacity_; }

  // Applies a change without checking it: absent names in `remove` are ignored,
  // and objects in `put` replace existing objects of the same name.
  Undo Apply(const Change& change, const Stamp& stamp);
  // Reverts the last change, given what its Apply returned.
  void Revert(const Undo& undo);
  // Adds or replaces one object, with its stamp.
  void Put(const StampedObject& object);

  // Calls `visit` for the objects whose names sort after `after`, in the order
  // of names, until it returns false.
  void ForEachAfter(
      const std::string& after,
      const std::function<bool(const StampedObject&)>& visit) const;

  // Returns the change that turns this set into `objects`, sorted by name.
  Change ChangeTo(const Objects& objects) const;

 private:
  void Remove(const std::string& name);
  void AddReferences(const Object& object, std::string_view name);
  void RemoveReferences(const Object& object, std::string_view name);
  // Adds the object to the totals of quotas, capacity and demand, or subtracts
  // it.
  void UpdateTotals(const Object& object, bool add);

  Objects objects_;
  std::map<std::string, Entry> index_;
  // Names of the referring objects by the name they refer to, which may be
  // absent from the set. The views refer to keys of `index_`.
  std::map<std::string, boost::container::flat_set<std::string_view>>
      referrers_;
  std::map<std::string, ResourceSum> standing_demand_;
  ResourceSum total_quota_;
  ResourceSum total_capacity_;
  SetDigest digest_;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_OBJECT_SET_H_
