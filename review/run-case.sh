#!/usr/bin/env bash
# Runs a program of a case: exits with 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run. All processes end with the program.
# Usage: run-case.sh CASE_FOLDER PROGRAM TROUBLE (0: without the disruption)
set -uo pipefail
folder="$(cd "$1" && pwd)"
review="$(cd "$(dirname "$0")" && pwd)"
repository="$(dirname "$review")"
program="$review/build/$2"
if [ ! -x "$program" ] || [ ! -x "$repository/target/chalkwelld" ]; then
  echo "build the deploy file's build and review/build.sh first" >&2
  exit 2
fi
cd "$repository"
export TROUBLE="$3"
timeout -k 5 110 "$program" "$folder" "$repository"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
