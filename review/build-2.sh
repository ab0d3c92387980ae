#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/stand-ins-2/*.cpp -o target/review-2/scenario
