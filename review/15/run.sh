#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jasmined ] && [ -x target/standin-3 ] || exit 2
timeout 110 target/standin-3 key-passed-on review/15/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
