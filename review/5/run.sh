#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the machines were there before.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sassafrasferryd ] && [ -x target/review/new_machines ] || exit 2
timeout -k 2 115 target/review/new_machines review/5 target/sassafrasferryd
code=$?
[ $code -le 2 ] && exit $code
exit 2
