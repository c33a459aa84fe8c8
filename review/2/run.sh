#!/usr/bin/env bash
# Runs the case from the repository's root; see claim.txt. TROUBLE=0 leaves out
# the disruption.
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
exec review/bin/case-2 review/2/record.txt
