#!/usr/bin/env bash
# Exits with 1 if CONFIG is broken, 0 if it holds, 2 if the case could not run.
# TROUBLE=0: no runner is lost.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-8 ] && [ -x target/dotterel-host ] || exit 2
exec timeout 110 target/review-2/case-8 target/dotterel-host review/8 \
  "${TROUBLE:-1}"
