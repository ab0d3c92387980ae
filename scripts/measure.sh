#!/usr/bin/env bash
# Builds the project and runs all measurements: tables on standard output, CSV and SVG files in the folder of --output.
# Usage: scripts/measure.sh [--quick] [--only=latency|tail|flood|control|slopes] [--seed=N] [--output=FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
build=build-measure
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target damaskhollow-node standin-backend standin-platform faultproxy measure >/dev/null
exec "$build/bin/measure" "--output=$build/results" "$@"
