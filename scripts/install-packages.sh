#!/usr/bin/env bash
# Installs what the build and the checks need on Debian 12.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config git clang-format clang-tidy
  qt6-base-dev qt6-httpserver-dev qt6-websockets-dev libdocopt-dev libboost1.81-dev libboost-log1.81-dev
  libcppunit-dev libzmq3-dev cppzmq-dev protobuf-compiler libprotobuf-dev
  zlib1g-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y --no-install-recommends "${missing[@]}"
