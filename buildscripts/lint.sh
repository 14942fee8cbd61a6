#!/usr/bin/env bash
# Checks the format of all hand-written sources with clang-format, then lints
# them with clang-tidy, which uses the compile commands of the build folder $1
# (default: build). With --fix as the second argument, only formats in place.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}

mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  'src/*.cc' 'src/*.h' 'platform/*.cc' 'platform/*.h' 'standin/*.cc' 'standin/*.h' 'measure/*.cc' 'measure/*.h' |
  grep -v '/generated/')
if [ "${2:-}" = --fix ]; then
  clang-format-16 -i "${files[@]}"
  exit 0
fi
clang-format-16 --dry-run --Werror "${files[@]}"
echo "format: clean (${#files[@]} files)"

mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$')
python3 buildscripts/tidy.py "$folder" "${sources[@]}"
