#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review. Needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
"${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -o target/review/harness review/harness/*.cpp
