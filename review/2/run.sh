#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$RUN" ] && [ -x bin/vetchwood ] && [ -x bin/review-standin ] || { echo "build first" >&2; exit 2; }
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
export RUN TMPDIR=$dir
# The stand-in ends by itself within 115 s, and as soon as this script has ended; it ends the directors with it.
bin/review-standin reset "$here/record.txt" &
pid=$!
trap 'kill "$pid" 2>/dev/null; wait "$pid"; exit 2' TERM INT HUP
wait "$pid"
status=$?
[ $status -le 1 ] || status=2
exit $status
