#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for Case in [1-5]/Case.cpp; do
  [ -e "$Case" ] || continue
  g++ -std=c++20 -O2 -pthread -Istandins "$Case" standins/Standins.cpp \
    -o "bin/case-${Case%%/*}"
done
