#!/usr/bin/env bash
# Exits with 1 if BUDGET is broken, 0 if it holds, 2 if the case could not run.
# TROUBLE=0: the route does not move.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-10 ] && [ -x target/dotterel-host ] || exit 2
exec timeout 110 target/review-2/case-10 target/dotterel-host review/10 \
  "${TROUBLE:-1}"
