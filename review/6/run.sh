#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/case-6 ] && [ -x ../../target/fuchsiapierd ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
timeout -k 3 115 ../bin/case-6
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
