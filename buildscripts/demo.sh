#!/usr/bin/env bash
# Installs missing packages, builds, and runs an end-to-end demo with separate
# processes on loopback addresses: a stand-in platform, two gateways and two
# schedulers. Prints "demo: ok" at the end, or the failed step and exits with 1.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}

fail() {
  echo "demo: failed at step 0 ($1)"
  exit 1
}
buildscripts/install.sh || fail "install"
buildscripts/build.sh "$folder" || fail "build"
exec python3 buildscripts/demo.py "$folder/bin"
