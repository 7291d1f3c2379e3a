#!/usr/bin/env bash
# Runs the case and writes record.txt; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 case.py record.txt
