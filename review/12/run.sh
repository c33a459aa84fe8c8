#!/usr/bin/env bash
# An order is carried out late, and its sender is killed. TROUBLE=0: neither.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.."
[ -x target/dotterel-host ] && [ -x target/review-3/orders ] || exit 2
timeout -k 2 115 target/review-3/orders review/12/record.txt
Status=$?
[ "$Status" -eq 0 ] || [ "$Status" -eq 1 ] || exit 2
exit "$Status"
