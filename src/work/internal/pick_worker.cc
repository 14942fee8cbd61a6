#include "work/pick_worker.h"

#include <cstddef>
#include <iterator>

namespace carobmast::work {
namespace {

// Workers examined per task; those without enough free processors don't count.
constexpr std::size_t kMaxCandidates = 32;

using FreeIndex = std::set<std::pair<std::uint64_t, std::string>>;

bool CanRun(const PlacementRequest& request, const OwnedWorker& worker) {
  if (!request.cell.empty() && worker.cell != request.cell) return false;
  return Fits(request.spec.resources, worker.Free());
}

template <typename Iterator>
std::optional<std::string> FindFirst(const PlacementRequest& request,
                                     const WorkerTable& workers, Iterator from,
                                     Iterator to) {
  std::size_t candidates = 0;
  for (Iterator at = from; at != to && candidates < kMaxCandidates;
       ++at, ++candidates) {
    if (CanRun(request, *workers.Find(at->second))) return at->second;
  }
  return std::nullopt;
}

std::optional<std::string> FindFirstInCell(const PlacementRequest& request,
                                           const WorkerTable& workers,
                                           const FreeIndex& index) {
  for (const auto& [free, worker] : index) {
    if (CanRun(request, *workers.Find(worker))) return worker;
  }
  return std::nullopt;
}

std::optional<std::string> Pick(const PlacementRequest& request,
                                const WorkerTable& workers) {
  const FreeIndex* index = workers.FreeIndex(request.spec.pool);
  if (index == nullptr) return std::nullopt;
  if (!request.cell.empty()) return FindFirstInCell(request, workers, *index);
  const FreeIndex::const_iterator first =
      index->lower_bound({request.spec.resources.milli_cpus, std::string()});
  if (request.spec.kind == contracts::TaskKind::kBatch) {
    return FindFirst(request, workers, first, index->end());
  }
  return FindFirst(request, workers, index->rbegin(),
                   std::make_reverse_iterator(first));
}

}  // namespace

PickWorker PickFirstFit() {
  return [](const PlacementRequest& request, const WorkerTable& workers,
            MonotonicTime) { return Pick(request, workers); };
}

}  // namespace carobmast::work
