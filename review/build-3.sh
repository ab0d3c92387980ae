#!/bin/sh
# Builds the stand-ins and clients of the cases 11 to 15 into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review/stand-ins-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread -c rig.cpp -o ../../target/review-3/rig.o
for source in *.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = rig ] && continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" ../../target/review-3/rig.o \
    -o "../../target/review-3/$name"
done
