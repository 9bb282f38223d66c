#!/bin/sh
# Builds the stand-ins and drivers of all cases into bin/, with the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p ../bin
exec go build -o ../bin/review-rig ./rig
