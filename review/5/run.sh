#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the machines were there before.
# What was sent, answered and run is written to review/5/record.txt.
cd "$(dirname "$0")/../.." || exit 2
record=review/5/record.txt
rm -f "$record"
[ -x target/sassafrasferryd ] && [ -x target/review/new_machines ] || exit 2
timeout -k 2 115 target/review/new_machines review/5 target/sassafrasferryd
code=$?
[ -s "$record" ] || exit 2
[ $code -le 2 ] && exit $code
exit 2
