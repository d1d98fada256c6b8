#!/usr/bin/env bash
# Builds the stand-in program that the scripts of the cases start. It needs the standard
# library only. Build the software itself first, with the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOFLAGS=-buildvcs=false GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review/standin .
