// The stored form of a wave's progress.
#ifndef CAROBMAST_MAINTENANCE_WAVE_PROGRESS_H_
#define CAROBMAST_MAINTENANCE_WAVE_PROGRESS_H_

#include <string>

#include "maintenance/types/wave.h"

namespace carobmast::maintenance {

std::string EncodeWaveProgress(const WaveProgress& progress);
// Throws Error when the text is malformed.
WaveProgress DecodeWaveProgress(const std::string& text);

}  // namespace carobmast::maintenance

#endif  // CAROBMAST_MAINTENANCE_WAVE_PROGRESS_H_
