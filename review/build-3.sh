#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/standin3
