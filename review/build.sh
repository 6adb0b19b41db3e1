#!/bin/sh
# Checks that the stand-ins of the cases compile; they need Python alone and place nothing elsewhere.
cd "$(dirname "$0")/.." || exit 1
for file in review/standin_*.py review/[1-5]/case.py; do
    PYTHONDONTWRITEBYTECODE=1 python3 -c "compile(open('$file').read(), '$file', 'exec')" || exit 1
done
