#!/usr/bin/env bash
# Runs clang-tidy with warnings as errors. Usage: scripts/lint.sh [BUILD_DIR] [FILE...]; without files, all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(git ls-files --cached --others --exclude-standard -- 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp')
fi
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy -p "$build" --quiet 2>/dev/null
