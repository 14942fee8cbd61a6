#include "measure/process_cost.h"

#include <ctime>
#include <fstream>

namespace carobmast::measure {

Duration ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

std::size_t ResidentBytes() {
  constexpr std::size_t kPageBytes = 4096;
  std::ifstream file("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * kPageBytes;
}

}  // namespace carobmast::measure
