#!/usr/bin/env bash
# Builds the cases and their stand-ins into target/review-2, after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for Case in 6 7 8 9 10; do
  [ -f "review/$Case/Case.cpp" ] || continue
  g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers \
    -pthread "review/$Case/Case.cpp" -o "target/review-2/case-$Case"
done
