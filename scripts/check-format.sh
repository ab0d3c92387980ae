#!/usr/bin/env bash
# Fails if a C++ file differs from what clang-format makes of it. With --fix it formats the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' | grep -v '\.pb\.' | xargs clang-format "${mode[@]}"
