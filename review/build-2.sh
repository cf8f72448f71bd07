#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10. It needs Go alone, and no network.
set -eu
cd "$(dirname "$0")"
for n in 6 7 8 9 10; do
	if [ -f "$n/main.go" ]; then
		GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o "bin/case-$n" "./$n"
	fi
done
