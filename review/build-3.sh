#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into target/review-3, with the
# libraries that the build of the deploy file leaves in target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for Source in review/standins-3/*.cpp; do
  Program="target/review-3/$(basename "$Source" .cpp)"
  g++ -std=c++20 -O1 -g0 -Iinclude -Itests -Ireview/standins-3 \
    -Wall -Wextra -Wno-missing-field-initializers -Wno-restrict \
    "$Source" tests/support/PlatformFakes.cpp -o "$Program" \
    target/libdotterel.a -lfmt -lsodium -lhttp_parser -lev -lxxhash
done
