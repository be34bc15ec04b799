#!/usr/bin/env bash
# The stand-ins of the scripts (review/common) are Python programs and need no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/*.py */case.py <<'CHECK'
import ast
import sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
CHECK
