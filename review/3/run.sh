#!/bin/sh
# Plays the case `restart-and-drain`. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without its disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/pondproxy-node ] && [ -x target/review/stand_ins ] || {
    echo "build first: the deploy file's build, then review/build.sh"
    exit 2
}
export TROUBLE="${TROUBLE:-1}"
target/review/stand_ins restart-and-drain review/3/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
