#include "config/object_set.h"

#include <type_traits>
#include <utility>

#include "config/codec.h"
#include "config/internal/fields.h"
#include "config/kinds.h"

namespace carobmast::config {
namespace {

// A visitor for VisitFields that collects the references of an object.
template <typename O>
class ReferenceCollector {
 public:
  ReferenceCollector(const O& object, std::vector<Reference>& out)
      : object_(object), out_(out) {}

  template <typename Member, typename Spec>
  void Field(const char* name, Member O::*member, Spec spec, internal::Need) {
    if constexpr (std::is_same_v<Spec, internal::ReferenceSpec>) {
      out_.push_back({name, spec.kind, object_.*member});
    } else if constexpr (std::is_same_v<Spec, internal::ReferenceListSpec>) {
      for (const std::string& target : object_.*member) {
        out_.push_back({name, spec.kind, target});
      }
    }
  }

 private:
  const O& object_;
  std::vector<Reference>& out_;
};

// Adds `each` times `count` to `sum`, or subtracts it.
void AdjustSum(WideCount& sum, std::uint64_t each, std::uint64_t count,
               bool add) {
  const WideCount amount = WideCount{each} * count;
  sum = add ? sum + amount : sum - amount;
}

// Adds the objects of `map` that are absent from `set` or differ from it.
template <typename O>
void AddChangedObjects(const ObjectSet& set,
                       const std::map<std::string, O>& map, Kind kind,
                       std::map<std::string, Object>& put) {
  for (const auto& entry : map) {
    const ObjectSet::Entry* old = set.Find(entry.first);
    Object object = entry.second;
    if (old != nullptr && old->kind == kind &&
        CanonicalText(set.Get(entry.first)) == CanonicalText(object)) {
      continue;
    }
    put.insert_or_assign(entry.first, std::move(object));
  }
}

bool Contains(const Objects& objects, const std::string& name) {
  return objects.teams.contains(name) || objects.size_classes.contains(name) ||
         objects.vm_pools.contains(name) || objects.services.contains(name) ||
         objects.batch_jobs.contains(name) ||
         objects.standing_workers.contains(name) ||
         objects.drained_vms.contains(name) ||
         objects.publishers.contains(name);
}

}  // namespace

void ResourceSum::Add(const contracts::Resources& each, std::uint64_t count) {
  AdjustSum(milli_cpus, each.milli_cpus, count, true);
  AdjustSum(memory_bytes, each.memory.bytes, count, true);
  AdjustSum(accelerators, each.accelerators, count, true);
}

void ResourceSum::Subtract(const contracts::Resources& each,
                           std::uint64_t count) {
  AdjustSum(milli_cpus, each.milli_cpus, count, false);
  AdjustSum(memory_bytes, each.memory.bytes, count, false);
  AdjustSum(accelerators, each.accelerators, count, false);
}

bool ResourceSum::FitsIn(const ResourceSum& other) const {
  return milli_cpus <= other.milli_cpus && memory_bytes <= other.memory_bytes &&
         accelerators <= other.accelerators;
}

std::vector<Reference> ReferencesOf(const Object& object) {
  std::vector<Reference> references;
  std::visit(
      [&](const auto& value) {
        ReferenceCollector<std::decay_t<decltype(value)>> collector(value,
                                                                    references);
        internal::VisitFields(collector, value);
      },
      object);
  return references;
}

const ObjectSet::Entry* ObjectSet::Find(const std::string& name) const {
  const auto found = index_.find(name);
  return found == index_.end() ? nullptr : &found->second;
}

Object ObjectSet::Get(const std::string& name) const {
  return GetObject(objects_, index_.at(name).kind, name);
}

std::vector<std::string> ObjectSet::ReferrersOf(const std::string& name) const {
  const auto found = referrers_.find(name);
  if (found == referrers_.end()) return {};
  return std::vector<std::string>(found->second.begin(), found->second.end());
}

ResourceSum ObjectSet::StandingDemand(const std::string& team_or_pool) const {
  const auto found = standing_demand_.find(team_or_pool);
  return found == standing_demand_.end() ? ResourceSum{} : found->second;
}

void ObjectSet::AddReferences(const Object& object, std::string_view name) {
  for (const Reference& reference : ReferencesOf(object)) {
    referrers_[reference.name].insert(name);
  }
}

void ObjectSet::RemoveReferences(const Object& object, std::string_view name) {
  for (const Reference& reference : ReferencesOf(object)) {
    const auto found = referrers_.find(reference.name);
    if (found == referrers_.end()) continue;
    found->second.erase(name);
    if (found->second.empty()) referrers_.erase(found);
  }
}

void ObjectSet::UpdateTotals(const Object& object, bool add) {
  const auto change = [add](ResourceSum& sum, const contracts::Resources& each,
                            std::uint64_t count) {
    add ? sum.Add(each, count) : sum.Subtract(each, count);
  };
  if (const Team* team = std::get_if<Team>(&object)) {
    change(total_quota_, team->quota, 1);
  } else if (const VmPool* pool = std::get_if<VmPool>(&object)) {
    change(total_capacity_, pool->worker, pool->workers);
  } else if (const Service* service = std::get_if<Service>(&object)) {
    change(standing_demand_[service->team], service->instance,
           service->instances);
    change(standing_demand_[service->pool], service->instance,
           service->instances);
  } else if (const StandingWorker* worker =
                 std::get_if<StandingWorker>(&object)) {
    change(standing_demand_[worker->team], worker->task, worker->replicas);
    change(standing_demand_[worker->pool], worker->task, worker->replicas);
  }
}

void ObjectSet::Remove(const std::string& name) {
  const auto found = index_.find(name);
  if (found == index_.end()) return;
  const Object object = GetObject(objects_, found->second.kind, name);
  digest_.Remove(Sha256(CanonicalText(object)));
  UpdateTotals(object, false);
  RemoveReferences(object, found->first);
  RemoveObject(objects_, found->second.kind, name);
  index_.erase(found);
}

void ObjectSet::Put(const StampedObject& object) {
  const std::string& name = NameOf(object.object);
  Remove(name);
  const auto added = index_.emplace(
      name, Entry{.kind = KindOf(object.object), .stamp = object.stamp});
  PutObject(objects_, object.object);
  AddReferences(object.object, added.first->first);
  UpdateTotals(object.object, true);
  digest_.Add(Sha256(CanonicalText(object.object)));
}

ObjectSet::Undo ObjectSet::Apply(const Change& change, const Stamp& stamp) {
  Undo undo;
  for (const std::string& name : change.remove) {
    const Entry* old = Find(name);
    if (old == nullptr) continue;
    undo.put.push_back({Get(name), old->stamp});
    Remove(name);
  }
  for (const Object& object : change.put) {
    const std::string& name = NameOf(object);
    const Entry* old = Find(name);
    if (old != nullptr) {
      undo.put.push_back({Get(name), old->stamp});
    } else {
      undo.remove.push_back(name);
    }
    Put({object, stamp});
  }
  return undo;
}

void ObjectSet::Revert(const Undo& undo) {
  for (const std::string& name : undo.remove) Remove(name);
  for (const StampedObject& object : undo.put) Put(object);
}

void ObjectSet::ForEachAfter(
    const std::string& after,
    const std::function<bool(const StampedObject&)>& visit) const {
  for (auto entry = index_.upper_bound(after); entry != index_.end(); ++entry) {
    const StampedObject object{
        .object = GetObject(objects_, entry->second.kind, entry->first),
        .stamp = entry->second.stamp};
    if (!visit(object)) return;
  }
}

Change ObjectSet::ChangeTo(const Objects& objects) const {
  std::map<std::string, Object> put;
  AddChangedObjects(*this, objects.teams, Kind::kTeam, put);
  AddChangedObjects(*this, objects.size_classes, Kind::kSizeClass, put);
  AddChangedObjects(*this, objects.vm_pools, Kind::kVmPool, put);
  AddChangedObjects(*this, objects.services, Kind::kService, put);
  AddChangedObjects(*this, objects.batch_jobs, Kind::kBatchJob, put);
  AddChangedObjects(*this, objects.standing_workers, Kind::kStandingWorker,
                    put);
  AddChangedObjects(*this, objects.drained_vms, Kind::kDrainedVm, put);
  AddChangedObjects(*this, objects.publishers, Kind::kPublisher, put);
  Change change;
  for (auto& entry : put) change.put.push_back(std::move(entry.second));
  for (const auto& entry : index_) {
    if (!Contains(objects, entry.first)) change.remove.push_back(entry.first);
  }
  return change;
}

}  // namespace carobmast::config
