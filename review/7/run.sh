#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2 ] && [ -x target/dotterelflow-front ] || { echo "build first: deploy file, review/build-2.sh"; exit 2; }
exec target/review2 take-up "review/7/record.txt"
