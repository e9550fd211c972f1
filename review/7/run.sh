#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0: only the primary is replaced.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
