#!/usr/bin/env bash
# Plays the case on loopback. TROUBLE=0 leaves the disruption out.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
record=$PWD/record.txt
cd ../.. || exit 2
if [ ! -x target/sparentry ] || [ ! -x target/review/standin ]; then
	echo "first the build of deploy/system.toml, then review/build.sh"
	exit 2
fi
exec timeout 110 target/review/standin large "$record"
