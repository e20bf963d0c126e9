#!/bin/sh
# Plays the case "evacuation" of review/lab3 after the build of the deploy file and review/build-3.sh. See claim.txt.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/lab3 ] && [ -x ../../target/balancer ] && [ -x ../../target/sidecar ] || exit 2
exec ../../target/lab3 evacuation ../../target record.txt
