#!/usr/bin/env bash
# Plays the case of claim.txt after the build of the deploy file and
# review/build-2.sh; TROUBLE=0 plays it without the disruption. Writes
# record.txt here. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program=target/review-2/part
if [ ! -x "$program" ] || [ ! -x target/chalkwelld ]; then
  echo "build the deploy file's program and run review/build-2.sh first" >&2
  exit 2
fi
# Its children end with it.
timeout -k 2 112 "$program" "$here"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
