#!/usr/bin/env bash
# Builds the project, then runs six nodes in two regions with stand-in backend servers under a flood of bulk calls and prints
# a table by priority. Ends by itself. Status 0 only if every call is accounted for.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build-demo
scripts/install-packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target damaskhollow damaskhollow-node standin-backend standin-platform faultproxy fleetdemo
exec "$build/bin/fleetdemo" "$@"
