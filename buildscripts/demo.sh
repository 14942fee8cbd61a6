#!/usr/bin/env bash
# Installs what is missing, builds, and runs the whole path as separate
# processes on loopback addresses: stand-in platform, two gateways and two
# schedulers. Ends with "demo: ok", or with the failed step and exit code 1.
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
