#!/usr/bin/env bash
# Exits with 1 if BUDGET is broken, 0 if it holds, 2 if the case could not run.
# TROUBLE=0: no host is killed.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-9 ] && [ -x target/dotterel-host ] || exit 2
exec timeout 110 target/review-2/case-9 target/dotterel-host review/9 \
  "${TROUBLE:-1}"
