#!/bin/sh
# Builds the stand-in of the scripted cases; the build line of the deploy file comes first.
cd "$(dirname "$0")/stand3" && exec go build -o ../../target/stand3 .
