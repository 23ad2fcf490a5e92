#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this script. Needs the build of the
# deploy file and build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
program=review/standins-2/target/release/review-standins-2
[ -x "$program" ] || exit 2
# In a process group of its own, so that all that it starts can be ended with it.
set -m
"$program" lost-watch review/8 &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; exit 2' INT TERM HUP
wait "$group"
outcome=$?
kill -KILL -- "-$group" 2>/dev/null
case $outcome in
0 | 1) exit "$outcome" ;;
*) exit 2 ;;
esac
