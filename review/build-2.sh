#!/bin/sh
# Builds the stand-ins of the scripted cases; the build line of the deploy file comes first.
cd "$(dirname "$0")/stand2" && exec go build -o ../../target/review-2 .
