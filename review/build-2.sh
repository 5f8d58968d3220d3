#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin2
