#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/currantloft ] && [ -x target/standin ] || { echo "build first" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec target/standin refused review/2/record.txt
