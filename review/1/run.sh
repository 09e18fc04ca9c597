#!/usr/bin/env bash
# TROUBLE=0 does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
export TROUBLE="${TROUBLE:-1}"
folder="$(cd "$(dirname "$0")" && pwd)"
"$folder/../run-case.sh" "$folder" case_killed_entry "$TROUBLE"
