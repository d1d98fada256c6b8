#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/stand3 ] && [ -x target/kumquatd ] || { echo "build first: the line of deploy/system.toml, review/build-3.sh"; exit 2; }
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout 115 target/stand3 "$(basename "$folder")" "$folder" "$temporary"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
