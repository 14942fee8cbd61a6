#include "maintenance/wave_progress.h"

#include <sstream>

#include "framework/base/error.h"

namespace carobmast::maintenance {

namespace {

// Stands for the worker of a VM that had none.
constexpr char kNoWorker[] = "-";

}  // namespace

// One line per VM: its name, its worker, and whether its maintenance is done.
std::string EncodeWaveProgress(const WaveProgress& progress) {
  std::ostringstream lines;
  for (const auto& [name, vm] : progress) {
    lines << name << " " << (vm.worker.empty() ? kNoWorker : vm.worker) << " "
          << vm.done << "\n";
  }
  return lines.str();
}

WaveProgress DecodeWaveProgress(const std::string& text) {
  WaveProgress progress;
  std::istringstream lines(text);
  std::string name;
  while (lines >> name) {
    VmProgress& vm = progress[name];
    if (!(lines >> vm.worker >> vm.done)) {
      throw Error("wave progress", name, "malformed line");
    }
    if (vm.worker == kNoWorker) vm.worker.clear();
  }
  return progress;
}

}  // namespace carobmast::maintenance
