#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out both disruptions,
# TROUBLE=zone the restart alone.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$RUN" ] && [ -x bin/vetchwood ] && [ -x bin/review-standin ] || { echo "build first" >&2; exit 2; }
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
export RUN TMPDIR=$dir
timeout -k 2 112 bin/review-standin zone "$here/record.txt"
status=$?
[ $status -le 1 ] || status=2
exit $status
