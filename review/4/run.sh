#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run is in record.txt.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -x target/review/standin ] || [ ! -x target/kumquatd ]; then
	echo "build the software and run review/build.sh first" >&2
	exit 2
fi
exec target/review/standin kind "$folder"
