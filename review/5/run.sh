#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")" || exit 2
test -x ../../target/release/tanagerladderd || { echo "build target/release/tanagerladderd first"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
