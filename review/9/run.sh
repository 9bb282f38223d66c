#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) && cd "$folder/../.." || exit 2
if [ ! -x bin/rig2 ] || [ ! -x bin/sabletally ]; then
	echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
	exit 2
fi
exec bin/rig2 drain "$folder"
