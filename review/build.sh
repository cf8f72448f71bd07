#!/usr/bin/env bash
# Builds the programs of the cases with all their stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
for n in [0-9]*; do
  GOWORK=off GOTOOLCHAIN=local go build -o "bin/case-$n" "./$n"
done
