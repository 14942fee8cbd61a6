#!/usr/bin/env bash
# Installs the packages that the build and the checks need on Debian 12. Does
# nothing if all are installed.
set -euo pipefail

packages=(
  ca-certificates ccache clang-16 cmake g++ git ninja-build pkg-config python3
  clang-format-16 clang-tidy-16 libclang-rt-16-dev lld-16
  libboost1.81-dev libcppunit-dev liblog4cxx-dev libnghttp2-dev
  libprotobuf-dev librapidcheck-dev libssl-dev libtclap-dev libyaml-cpp-dev
  protobuf-compiler spin
)

missing=()
for package in "${packages[@]}"; do
  state=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
  [ "$state" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
