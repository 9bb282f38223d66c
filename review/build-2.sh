#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs no network. The project's own programs come from the build command of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/rig2"
mkdir -p ../../bin
exec go build -o ../../bin/rig2 .
