#!/usr/bin/env bash
# Configures and builds the project in the folder $1 (default: build). Further
# arguments go to CMake, e.g. -DCAROBMAST_SANITIZE=ON. CAROBMAST_JOBS limits the
# parallel jobs (default: one per processor).
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true

launcher=()
if command -v ccache >/dev/null; then
  launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
fi
cmake -S . -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER=clang++-16 \
  "${launcher[@]}" "$@" >/dev/null
cmake --build "$folder" -j "${CAROBMAST_JOBS:-$(nproc)}"
