#!/usr/bin/env bash
# Plays the case that the first argument names and writes record.txt into the folder that the second one names. The program itself has to be
# built before, by the build line of the deploy file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
review=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$review")
[ -x "$root/bin/switchfork" ] || { echo "bin/switchfork is missing: run the build line of deploy/balancer.toml" >&2; exit 2; }
[ -x "$review/bin/standins" ] || bash "$review/build.sh" >&2 || exit 2
timeout -k 2 115 "$review/bin/standins" -root "$root" -output "$2" "$1"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
