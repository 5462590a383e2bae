#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2

if [ ! -x target/dotterelflow-front ] || [ ! -x target/review3 ]; then
	echo "run the build of the deploy file and review/build-3.sh first"
	exit 2
fi

exec target/review3 restored-list review/14/record.txt
